#include "router/ownership_client.hpp"

#include "net/rpc_answer.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration call_timeout = milliseconds(250);

// An answer takes milliseconds. After this delay the message is also sent on a new
// connection.
constexpr duration hedge_delay = milliseconds(100);

// A server that was paused answers both attempts at about the same time, in either order.
// The first attempt is found unresponsive only if this time passes after the answer to
// the second one.
constexpr duration late_answer_grace = milliseconds(20);

rpc_call make_call(const char* method,
                   const shard_id& shard,
                   const granted_partition& partition,
                   duration ttl,
                   server_clock as_of)
{
    ownership_params params;
    params.shard = shard;
    params.partition = partition.range;
    params.since = partition.since;
    params.ttl = ttl;
    params.as_of_ms = static_cast<std::uint64_t>(as_of.value.count());
    return {method, write_message(params)};
}

// Returns the server's clock and the partitions that it accepted; nullopt if no call was
// answered.
std::optional<server_reply> read_reply(const std::vector<granted_partition>& partitions,
                                       const std::vector<rpc_result>& results)
{
    std::optional<server_reply> reply;
    for (std::size_t n = 0; n < results.size(); ++n)
    {
        std::optional<ownership_answer> answer =
            read_answer<ownership_answer>(results[n]);
        if (!answer)
        {
            continue;
        }
        reply = reply.value_or(server_reply());
        reply->clock = {milliseconds(answer->clock_ms)};
        if (answer->since == partitions[n].since)
        {
            reply->accepted.push_back(partitions[n]);
        }
    }
    return reply;
}

// True if the connection for these calls was refused.
bool is_refused(const std::vector<rpc_result>& results)
{
    return !results.empty() && results.front().end == rpc_end::connection_refused;
}

} // namespace

void ownership_client::get_clock(const endpoint& address, callback done)
{
    auto send =
        [this, address](connection_choice connection, duration timeout, callback ended)
    {
        auto read = [ended = std::move(ended)](const rpc_result& got)
        {
            ownership_call_result call_result;
            call_result.is_connection_refused = got.end == rpc_end::connection_refused;
            if (std::optional<clock_answer> answer = read_answer<clock_answer>(got))
            {
                call_result.reply.emplace();
                call_result.reply->clock = {milliseconds(answer->clock_ms)};
            }
            ended(call_result);
        };
        rpc_.call(address,
                  "ownership.clock",
                  Json::Value(Json::objectValue),
                  timeout,
                  std::move(read),
                  connection);
    };
    send_hedged(address, send, std::move(done));
}

void ownership_client::grant(const endpoint& address,
                             const grant_message& message,
                             callback done)
{
    std::vector<rpc_call> calls;
    calls.reserve(message.partitions.size());
    for (const granted_partition& it : message.partitions)
    {
        calls.push_back(
            make_call("ownership.grant", shard_, it, message.ttl, message.as_of));
    }
    send(address, message.partitions, std::move(calls), std::move(done));
}

void ownership_client::revoke(const endpoint& address,
                              const revoke_message& message,
                              callback done)
{
    std::vector<rpc_call> calls;
    calls.reserve(message.partitions.size());
    for (const granted_partition& it : message.partitions)
    {
        calls.push_back(make_call("ownership.revoke", shard_, it, duration::zero(), {}));
    }
    send(address, message.partitions, std::move(calls), std::move(done));
}

void ownership_client::send(const endpoint& address,
                            const std::vector<granted_partition>& partitions,
                            std::vector<rpc_call> calls,
                            callback done)
{
    auto send = [this, address, partitions, calls = std::move(calls)](
                    connection_choice connection, duration timeout, callback ended)
    {
        auto read =
            [ended = std::move(ended), partitions](const std::vector<rpc_result>& results)
        {
            ended({read_reply(partitions, results), is_refused(results), {}});
        };
        rpc_.batch(address, calls, timeout, std::move(read), connection);
    };
    send_hedged(address, send, std::move(done));
}

void ownership_client::send_hedged(const endpoint& address,
                                   const send_function& send,
                                   callback done)
{
    auto call = std::make_shared<hedged_call>();
    call->address = address;
    call->done = std::move(done);
    call->sent_at = loop_.now();
    call->timer = loop_.after(hedge_delay,
                              [this, send, weak = std::weak_ptr<hedged_call>(call)]
                              {
                                  if (hedged_call_ptr it = weak.lock())
                                  {
                                      send_hedge(it, send);
                                  }
                              });
    send(connection_choice::pooled,
         call_timeout,
         [this, call](ownership_call_result call_result)
         { on_attempt_ended(call, true, std::move(call_result)); });
}

void ownership_client::send_hedge(const hedged_call_ptr& it, const send_function& send)
{
    ++it->open_attempts;
    send(connection_choice::fresh,
         call_timeout - hedge_delay,
         [this, it](ownership_call_result call_result)
         { on_attempt_ended(it, false, std::move(call_result)); });
}

void ownership_client::on_attempt_ended(const hedged_call_ptr& it,
                                        bool is_first,
                                        ownership_call_result call_result)
{
    --it->open_attempts;
    it->is_first_attempt_open = it->is_first_attempt_open && !is_first;
    bool is_other_attempt_open = it->open_attempts > 0;
    if (!it->done || (!call_result.reply && is_other_attempt_open))
    {
        return;
    }
    it->timer.reset();
    if (call_result.reply && it->is_first_attempt_open)
    {
        watch_first_attempt(it);
    }
    call_result.sent_at = it->sent_at;
    std::exchange(it->done, nullptr)(call_result);
}

// Reports the pooled connections as unresponsive if the first attempt gets no answer
// soon. The exchange of that attempt keeps `it` alive.
void ownership_client::watch_first_attempt(const hedged_call_ptr& it)
{
    it->timer = loop_.after(
        late_answer_grace,
        [this, weak = std::weak_ptr<hedged_call>(it), answered_at = loop_.now()]
        {
            hedged_call_ptr watched = weak.lock();
            if (watched && watched->is_first_attempt_open)
            {
                on_unresponsive_(watched->address, answered_at);
            }
        });
}

} // namespace camphorrock
