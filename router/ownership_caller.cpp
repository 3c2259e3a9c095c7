#include "router/ownership_caller.hpp"

#include "net/rpc_answer.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration call_timeout = milliseconds(250);

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
    return !results.empty() && results.front().end == rpc_end::no_peer;
}

} // namespace

void ownership_caller::clock(const endpoint& address, callback done)
{
    time_point sent_at = loop_.now();
    rpc_.call(address,
              "ownership.clock",
              Json::Value(Json::objectValue),
              call_timeout,
              [done = std::move(done), sent_at](const rpc_result& got)
              {
                  ownership_end end;
                  end.sent_at = sent_at;
                  end.is_connection_refused = got.end == rpc_end::no_peer;
                  if (std::optional<clock_answer> answer = read_answer<clock_answer>(got))
                  {
                      end.reply.emplace();
                      end.reply->clock = {milliseconds(answer->clock_ms)};
                  }
                  done(end);
              });
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
    send(address, message.partitions, calls, std::move(done));
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
    send(address, message.partitions, calls, std::move(done));
}

void ownership_caller::send(const endpoint& address,
                            const std::vector<granted_partition>& partitions,
                            const std::vector<rpc_call>& calls,
                            callback done)
{
    time_point sent_at = loop_.now();
    rpc_.batch(address,
               calls,
               call_timeout,
               [done = std::move(done), partitions, sent_at](
                   const std::vector<rpc_result>& results) {
                   done({read_reply(partitions, results), is_refused(results), sent_at});
               });
}

} // namespace camphorrock
