#pragma once

// Finds out whether a connection to a server can be opened: it is opened and closed
// again, without sending anything. A connection that is refused shows that no process
// listens at the address, or that the link refuses it. One that breaks for another
// reason, such as a reset, shows nothing.
//
// Probes of one server at the same time share one connection.

#include "core/base/names.hpp"
#include "net/http_client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace camphorrock
{

enum class probe_end
{
    accepted,
    refused,
    unanswered, // neither in time: the server may only be cut off
};

class server_probe
{
public:
    using callback = std::function<void(probe_end)>;

    static constexpr duration timeout = milliseconds(100);

    // `http` must outlive the probe.
    explicit server_probe(http_client& http) : http_(http) {}
    server_probe(const server_probe&) = delete;
    server_probe& operator=(const server_probe&) = delete;

    // Calls `done` once, not within this call.
    void check(const endpoint& server, callback done);

private:
    void finish(const endpoint& server, const exchange_result& got);

    http_client& http_;
    std::map<endpoint, std::vector<callback>> waiting_;
    // Expires with this object; the exchange's callback checks it.
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace camphorrock
