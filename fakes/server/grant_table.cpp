#include "fakes/server/grant_table.hpp"

#include "codec/history_json.hpp"
#include "codec/messages_json.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// Messages for a further shard are refused.
constexpr std::size_t max_shards = 64;

history_time to_history(time_point at)
{
    return static_cast<history_time>(at.time_since_epoch().count());
}

time_point lapse_time(const ownership_params& params, const ownership_options& options)
{
    return time_point(milliseconds(params.as_of_ms)) +
           std::min<duration>(params.ttl, options.grant_ttl);
}

// An accepted message is answered with its own epoch, a refused one with epoch 0.
ownership_answer to_answer(const server_reply& reply, const ownership_params& params)
{
    ownership_answer answer;
    answer.clock_ms = static_cast<std::uint64_t>(reply.clock.value.count());
    answer.since = reply.accepted.empty() ? epoch() : params.since;
    return answer;
}

template<class Handler>
rpc_server::method make_method(Handler handler)
{
    return [handler](const Json::Value& params) -> result<Json::Value>
    {
        BOOST_LEAF_AUTO(message, read_message<ownership_params>(params));
        BOOST_LEAF_AUTO(answer, handler(message));
        return write_message(answer);
    };
}

} // namespace

grant_table::grant_table(event_loop& loop,
                         server_id self,
                         line_file& history,
                         event_log& log)
    : loop_(loop), self_(std::move(self)), history_(history), log_(log),
      started_at_(loop.now())
{
}

void grant_table::add_methods(rpc_server& rpc)
{
    auto grant_method =
        make_method([this](const ownership_params& params) { return grant(params); });
    rpc.add("ownership.grant", grant_method);
    rpc.add("ownership.renew", grant_method);
    rpc.add(
        "ownership.revoke",
        make_method([this](const ownership_params& params) { return revoke(params); }));
    rpc.add("ownership.clock",
            [this](const Json::Value&) -> result<Json::Value>
            {
                auto now = std::chrono::floor<milliseconds>(loop_.now());
                auto reading = static_cast<std::uint64_t>(now.time_since_epoch().count());
                return write_message(clock_answer{reading});
            });
}

guard_verdict grant_table::check(const shard_id& shard, key_hash at, epoch since)
{
    auto it = guards_.find(shard);
    return it == guards_.end() ? guard_verdict::no_grant
                               : it->second.check(at, since, loop_.now());
}

result<ownership_answer> grant_table::grant(const ownership_params& params)
{
    time_point now = loop_.now();
    grant_message message;
    message.as_of = {milliseconds(params.as_of_ms)};
    message.ttl = std::chrono::floor<milliseconds>(params.ttl);
    message.partitions.push_back({params.partition, params.since});
    BOOST_LEAF_AUTO(guard, find_or_create_guard(params.shard));
    server_reply reply = guard->grant(message, now);
    if (reply.accepted.empty())
    {
        log_refusal(params);
    }
    else
    {
        record_grant(params, now);
    }
    return to_answer(reply, params);
}

result<ownership_answer> grant_table::revoke(const ownership_params& params)
{
    time_point now = loop_.now();
    revoke_message message{{{params.partition, params.since}}};
    BOOST_LEAF_AUTO(guard, find_or_create_guard(params.shard));
    server_reply reply = guard->revoke(message, now);
    if (!reply.accepted.empty())
    {
        revoke_record record{
            to_history(now), self_, params.shard, params.partition, params.since};
        history_.append(write_history_line(record));
        log_.write(event_id::grant_revoked,
                   {{"shard", params.shard},
                    {"partition", to_string(params.partition)},
                    {"epoch", params.since}});
    }
    return to_answer(reply, params);
}

result<grant_guard*> grant_table::find_or_create_guard(const shard_id& shard)
{
    if (guards_.size() >= max_shards && guards_.count(shard) == 0)
    {
        return fail(error_code::refused, "grants of too many shards are held");
    }
    return &guards_.try_emplace(shard, options_, started_at_).first->second;
}

void grant_table::record_grant(const ownership_params& params, time_point now)
{
    grant_record record{to_history(now),
                        to_history(lapse_time(params, options_)),
                        self_,
                        params.shard,
                        params.partition,
                        params.since};
    history_.append(write_history_line(record));
    log_.write(event_id::grant_accepted,
               {{"shard", params.shard},
                {"partition", to_string(params.partition)},
                {"epoch", params.since}});
}

void grant_table::log_refusal(const ownership_params& params)
{
    log_.write(event_id::grant_refused,
               {{"shard", params.shard},
                {"partition", to_string(params.partition)},
                {"epoch", params.since},
                {"as_of_ms", params.as_of_ms}});
}

} // namespace camphorrock
