#include "router/ownership_caller.hpp"

#include "net/rpc_answer.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration call_timeout = milliseconds(250);

// An answer takes milliseconds. After this long the message goes out on a new connection.
constexpr duration second_after = milliseconds(100);

// A server that paused answers both at about the same time, in any order.
constexpr duration verdict_after = milliseconds(20);

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

// What the answers say: the server's clock, and the partitions that it accepted.
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

bool is_refused(const std::vector<rpc_result>& results)
{
    return !results.empty() && results.front().end == rpc_end::connection_refused;
}

} // namespace

void ownership_caller::clock(const endpoint& address, callback done)
{
    auto send =
        [this, address](connection_choice connection, duration timeout, callback ended)
    {
        auto read = [ended = std::move(ended)](const rpc_result& got)
        {
            ownership_end end;
            end.is_connection_refused = got.end == rpc_end::connection_refused;
            if (std::optional<clock_answer> answer = read_answer<clock_answer>(got))
            {
                end.reply.emplace();
                end.reply->clock = {milliseconds(answer->clock_ms)};
            }
            ended(end);
        };
        rpc_.call(address,
                  "ownership.clock",
                  Json::Value(Json::objectValue),
                  timeout,
                  std::move(read),
                  connection);
    };
    send_twice(address, send, std::move(done));
}

void ownership_caller::grant(const endpoint& address,
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

void ownership_caller::revoke(const endpoint& address,
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

void ownership_caller::send(const endpoint& address,
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
    send_twice(address, send, std::move(done));
}

void ownership_caller::send_twice(const endpoint& address,
                                  const sender& send,
                                  callback done)
{
    auto made = std::make_shared<attempts>();
    made->address = address;
    made->done = std::move(done);
    made->sent_at = loop_.now();
    made->timer = loop_.after(second_after,
                              [this, send, weak = std::weak_ptr<attempts>(made)]
                              {
                                  if (attempts_ptr it = weak.lock())
                                  {
                                      send_second(it, send);
                                  }
                              });
    send(connection_choice::pooled,
         call_timeout,
         [this, made](ownership_end end) { ended(made, true, std::move(end)); });
}

void ownership_caller::send_second(const attempts_ptr& it, const sender& send)
{
    ++it->open;
    send(connection_choice::fresh,
         call_timeout - second_after,
         [this, it](ownership_end end) { ended(it, false, std::move(end)); });
}

void ownership_caller::ended(const attempts_ptr& it, bool is_first, ownership_end end)
{
    --it->open;
    it->is_first_open = it->is_first_open && !is_first;
    bool is_other_open = it->open > 0;
    if (!it->done || (!end.reply && is_other_open))
    {
        return;
    }
    it->timer.reset();
    if (end.reply && it->is_first_open)
    {
        watch_first(it);
    }
    end.sent_at = it->sent_at;
    std::exchange(it->done, nullptr)(end);
}

// The first sending was kept alive by its own exchange until now, and is still.
void ownership_caller::watch_first(const attempts_ptr& it)
{
    it->timer =
        loop_.after(verdict_after,
                    [this, weak = std::weak_ptr<attempts>(it), answered_at = loop_.now()]
                    {
                        attempts_ptr watched = weak.lock();
                        if (watched && watched->is_first_open)
                        {
                            on_silence_(watched->address, answered_at);
                        }
                    });
}

} // namespace camphorrock
