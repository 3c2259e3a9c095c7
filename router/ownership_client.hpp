#pragma once

// Makes the ownership calls to servers: JSON-RPC ownership.clock, ownership.grant and
// ownership.revoke, with one exchange for all partitions of a message.
//
//     client.grant(address, message, [](const ownership_call_result& result) { ... });
//
// Each call ends in exactly one callback, never inside the call. A call without an answer
// after a short delay is hedged: it is sent a second time on a new connection, and the
// first answer ends it. If only the new connection answers, the pooled connections are
// unresponsive, and the client reports them.

#include "core/base/names.hpp"
#include "core/ownership/grant_message.hpp"
#include "net/event_loop.hpp"
#include "net/rpc_client.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace camphorrock
{

// How a call ended.
struct ownership_call_result
{
    std::optional<server_reply> reply;  // nullopt if the server did not answer
    bool is_connection_refused = false; // by the server's host: no process listens
    time_point sent_at;                 // of the first attempt
};

class ownership_client
{
public:
    using callback = std::function<void(const ownership_call_result&)>;

    // The pooled connections to `address` are unresponsive: requests that were sent on
    // them at `sent_until` or earlier and have no answer may be lost.
    using unresponsive_callback =
        std::function<void(const endpoint& address, time_point sent_until)>;

    // The references must outlive the client.
    ownership_client(event_loop& loop,
                     rpc_client& rpc,
                     shard_id shard,
                     unresponsive_callback on_unresponsive)
        : loop_(loop), rpc_(rpc), shard_(std::move(shard)),
          on_unresponsive_(std::move(on_unresponsive))
    {
    }

    // Reads the server's clock; the reply accepts no partitions.
    void get_clock(const endpoint& address, callback done);
    // The reply has the partitions of the message that the server accepted.
    void grant(const endpoint& address, const grant_message& message, callback done);
    void revoke(const endpoint& address, const revoke_message& message, callback done);

private:
    // Makes one attempt, on a connection of this kind.
    using send_function =
        std::function<void(connection_choice, duration timeout, callback)>;

    // A call and its one or two attempts.
    struct hedged_call
    {
        endpoint address;
        callback done; // empty once the call has ended
        time_point sent_at;
        bool is_first_attempt_open = true;
        std::size_t open_attempts = 1;
        timer_handle timer; // until the second attempt, or the check of the first one
    };

    using hedged_call_ptr = std::shared_ptr<hedged_call>;

    void send(const endpoint& address,
              const std::vector<granted_partition>& partitions,
              std::vector<rpc_call> calls,
              callback done);
    void send_hedged(const endpoint& address, const send_function& send, callback done);
    void send_hedge(const hedged_call_ptr& it, const send_function& send);
    void on_attempt_ended(const hedged_call_ptr& it,
                          bool is_first,
                          ownership_call_result call_result);
    void watch_first_attempt(const hedged_call_ptr& it);

    event_loop& loop_;
    rpc_client& rpc_;
    shard_id shard_;
    unresponsive_callback on_unresponsive_;
};

} // namespace camphorrock
