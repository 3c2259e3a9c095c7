#pragma once

// The list of the routers and assigners, live and leaving, that the platform on which
// they run keeps. It lags: an instance in it may have stopped, and a running one may be
// missing. GET /instances returns a JSON array of
//
//     {"id", "role": "router"|"assigner", "data_centre", "peer": "IP:port",
//      "state": "live"|"leaving"}
//
// An instance registers itself with PUT /instances/ID, with the same object as the body,
// and deregisters with DELETE /instances/ID.

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <functional>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorrock
{

enum class instance_role
{
    router,
    assigner,
};

enum class instance_state
{
    live,
    leaving,
};

std::string_view name_of(instance_role value);
std::string_view name_of(instance_state value);

struct instance_entry
{
    instance_id id;
    instance_role role = instance_role::router;
    data_centre zone;
    endpoint peer; // where the instance accepts calls of other instances
    instance_state state = instance_state::live;
};

class instance_list
{
public:
    // Empty if the platform did not answer, or if the answer is malformed.
    using callback = std::function<void(std::optional<std::vector<instance_entry>>)>;

    // `http` must outlive the list.
    instance_list(http_client& http, endpoint platform)
        : http_(http), platform_(std::move(platform))
    {
    }

    void read(callback done);
    // Registers or updates this instance. `done` gets whether the platform confirmed it.
    void enter(const instance_entry& self, std::function<void(bool)> done);
    // Deregisters this instance. `done` gets whether the platform confirmed it.
    void leave(const instance_id& self, std::function<void(bool)> done);

private:
    http_client& http_;
    endpoint platform_;
};

} // namespace camphorrock
