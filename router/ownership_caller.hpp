#pragma once

// The ownership calls to servers: JSON-RPC ownership.clock, ownership.grant and
// ownership.revoke, one exchange for all partitions of a message.
//
//     caller.grant(action.address, action.message, [](const ownership_end& end) { ... });
//
// Each call ends in exactly one callback, never inside the call. One that is not answered
// soon is sent a second time on a new connection, and the first answer ends it. Where
// only the new connection answers, the kept ones have gone silent, and the caller says
// so.

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

    // The kept connections to `address` are silent: what was sent before `sent_before`
    // and is not answered may be lost.
    using silence_callback =
        std::function<void(const endpoint& address, time_point sent_before)>;

    // The references must outlive the caller.
    ownership_caller(event_loop& loop,
                     rpc_client& rpc,
                     shard_id shard,
                     silence_callback on_silence)
        : loop_(loop), rpc_(rpc), shard_(std::move(shard)),
          on_silence_(std::move(on_silence))
    {
    }

    void clock(const endpoint& address, callback done);
    void grant(const endpoint& address, const grant_message& message, callback done);
    void revoke(const endpoint& address, const revoke_message& message, callback done);

private:
    // Sends the message once on such a connection.
    using sender = std::function<void(connection_choice, duration timeout, callback)>;

    // A message that was sent once or twice.
    struct attempts
    {
        endpoint address;
        callback done; // none once the call has ended
        time_point sent_at;
        bool is_first_open = true;
        std::size_t open = 1;
        timer_handle timer; // to the second sending, or to the verdict on the first
    };

    using attempts_ptr = std::shared_ptr<attempts>;

    void send(const endpoint& address,
              const std::vector<granted_partition>& partitions,
              std::vector<rpc_call> calls,
              callback done);
    void send_twice(const endpoint& address, const sender& send, callback done);
    void send_second(const attempts_ptr& it, const sender& send);
    void ended(const attempts_ptr& it, bool is_first, ownership_end end);
    void watch_first(const attempts_ptr& it);

    event_loop& loop_;
    rpc_client& rpc_;
    shard_id shard_;
    silence_callback on_silence_;
};

} // namespace camphorrock
