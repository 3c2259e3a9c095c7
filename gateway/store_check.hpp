#pragma once

// Asks other gateways whether the store answers them. A gateway that the store does not
// answer learns in this way whether the store is away, or only its own path to it.
//
//     store_check check(loop, store, state, rpc, methods);
//     check.ask([&](time_point answered_at) { ... });
//
// A gateway that is asked reads from the store, unless it has just done so, and says how
// long ago the store answered its last such read. So the first answer may be old, and the
// one to the next question fresh.
//
// Method: store.check {} -> {"answered_ms": N}, left out if the store has answered none.

#include "core/base/result.hpp"
#include "core/base/time.hpp"
#include "gateway/gateway_state.hpp"
#include "net/event_loop.hpp"
#include "net/rpc_client.hpp"
#include "net/rpc_server.hpp"
#include "store/store_client.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace camphorrock
{

class store_check
{
public:
    // The arguments must outlive the check. Adds the method store.check to `server`.
    store_check(event_loop& loop,
                store_client& store,
                gateway_state& state,
                rpc_client& rpc,
                rpc_server& server);
    store_check(const store_check&) = delete;
    store_check& operator=(const store_check&) = delete;

    // Asks a few of the other gateways. `on_answered` is called for each one that the
    // store has answered, with a time at which or after which it did.
    void ask(const std::function<void(time_point)>& on_answered);

private:
    void choose_others();
    result<Json::Value> handle_check();
    void read_store();

    event_loop& loop_;
    store_client& store_;
    gateway_state& state_;
    rpc_client& rpc_;
    std::vector<fleet_gateway> others_; // that are asked
    time_point last_asked_at_{};
    std::optional<time_point> answered_at_; // when a read that was answered was sent
    bool is_reading_ = false;
    // Expires with this object; pending callbacks check it.
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace camphorrock
