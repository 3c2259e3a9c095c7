#pragma once

// The ownership calls to servers: JSON-RPC ownership.clock, ownership.grant and
// ownership.revoke, one exchange for all partitions of a message.
//
//     caller.grant(action.address, action.message, [](const ownership_end& end) { ... });
//
// Each call ends in exactly one callback, never inside the call.

#include "core/base/names.hpp"
#include "core/ownership/grant_message.hpp"
#include "net/event_loop.hpp"
#include "net/rpc_client.hpp"

#include <functional>
#include <optional>

namespace camphorrock
{

// How a call ended.
struct ownership_end
{
    std::optional<server_reply> reply;  // none: the server did not answer
    bool is_connection_refused = false; // by the server's host: no process listens
    time_point sent_at;
};

class ownership_caller
{
public:
    using callback = std::function<void(const ownership_end&)>;

    // The references must outlive the caller.
    ownership_caller(event_loop& loop, rpc_client& rpc, shard_id shard)
        : loop_(loop), rpc_(rpc), shard_(std::move(shard))
    {
    }

    void clock(const endpoint& address, callback done);
    void grant(const endpoint& address, const grant_message& message, callback done);
    void revoke(const endpoint& address, const revoke_message& message, callback done);

private:
    void send(const endpoint& address,
              const std::vector<granted_partition>& partitions,
              const std::vector<rpc_call>& calls,
              callback done);

    event_loop& loop_;
    rpc_client& rpc_;
    shard_id shard_;
};

} // namespace camphorrock
