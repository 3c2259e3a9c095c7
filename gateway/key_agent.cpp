#include "gateway/key_agent.hpp"

#include "codec/json_text.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration report_period = milliseconds(300);
constexpr duration report_timeout = milliseconds(500);
constexpr duration update_timeout = milliseconds(300);
constexpr duration reporter_silence = seconds(3); // then it gets no more updates
constexpr duration record_period = seconds(1);    // of reads while the assigner is silent
constexpr duration assigner_silence = milliseconds(1500);
constexpr std::size_t max_waiting_keys = 4096;

} // namespace

key_agent::key_agent(assigner_role_parts parts, rpc_client& rpc, rpc_server& server)
    : parts_(parts), rpc_(rpc),
      role_(
          parts, [this](const key_assignment& it) { publish(it); }, [this] { report(); })
{
    server.add("keys.report",
               [this](const Json::Value& params) { return take_report(params); });
    server.add("keys.update",
               [this](const Json::Value& params) { return take_update(params); });
    report_timer_ = parts_.loop.every(report_period, [this] { report(); });
    read_timer_ = parts_.loop.every(record_period, [this] { read_record(); });
    // Servers may still hold what an earlier process of the fleet has granted.
    fetch_record();
}

key_requests& key_agent::requests_of(const service_name& service)
{
    for (key_requests& it : waiting_)
    {
        if (it.service == service)
        {
            return it;
        }
    }
    waiting_.push_back({service, {}, {}});
    return waiting_.back();
}

void key_agent::requested(const service_name& service, shard_key key)
{
    if (role_.is_holder())
    {
        role_.add_load(service, key);
        return;
    }
    std::vector<unsigned>& keys = requests_of(service).keys;
    if (keys.size() < max_waiting_keys)
    {
        keys.push_back(key.value);
    }
}

void key_agent::refused(const service_name& service, shard_key key)
{
    if (role_.is_holder())
    {
        role_.not_owned(service, key);
        return;
    }
    std::vector<unsigned>& keys = requests_of(service).refused;
    if (keys.size() < max_waiting_keys)
    {
        keys.push_back(key.value);
    }
    report();
}

bool key_agent::is_complete() const
{
    for (const service_name& it : parts_.state.keyed_services())
    {
        const service_shares* shares = parts_.state.assignment().find_service(it);
        if (shares == nullptr || shares->shares.empty())
        {
            return false;
        }
    }
    return true;
}

void key_agent::report()
{
    if (role_.is_holder() || !role_.holder())
    {
        waiting_.clear();
        return;
    }
    if (is_reporting_)
    {
        is_report_due_ = true;
        return;
    }
    is_reporting_ = true;
    is_report_due_ = false;
    const gateway_settings& settings = parts_.state.settings();
    keys_report made{settings.id,
                     settings.peer,
                     parts_.state.assignment().version,
                     std::exchange(waiting_, {})};
    const endpoint to = *role_.holder();
    rpc_.call(to,
              "keys.report",
              write_keys_report(made),
              report_timeout,
              [this, to, alive = std::weak_ptr<const bool>(alive_)](const rpc_result& got)
              {
                  if (!alive.expired())
                  {
                      on_reply(to, got);
                  }
              });
}

void key_agent::on_reply(const endpoint& to, const rpc_result& got)
{
    is_reporting_ = false;
    if (got.end != rpc_end::answered)
    {
        rpc_.drop_connections(to);
        return;
    }
    const keys_reply reply = value_or_handle([&] { return read_keys_reply(got.value); },
                                             [](const error&) { return keys_reply(); });
    if (!reply.is_assigner)
    {
        return;
    }
    heard_ = parts_.loop.now();
    parts_.state.set_gateways(reply.gateways);
    for (const key_assignment& it : reply.assignment)
    {
        adopt(it);
    }
    if (is_report_due_)
    {
        report();
    }
}

result<Json::Value> key_agent::take_report(const Json::Value& params)
{
    BOOST_LEAF_AUTO(got, read_keys_report(params));
    keys_reply reply;
    reply.is_assigner = role_.is_holder();
    if (!reply.is_assigner)
    {
        return write_keys_reply(reply);
    }
    const time_point now = parts_.loop.now();
    reporter& from = reporters_[got.peer];
    from.seen = now;
    for (const key_requests& it : got.services)
    {
        for (unsigned key : it.keys)
        {
            role_.add_load(it.service, shard_key{key});
        }
        for (unsigned key : it.refused)
        {
            role_.not_owned(it.service, shard_key{key});
        }
    }
    std::erase_if(reporters_,
                  [&](const auto& it)
                  { return now - it.second.seen > reporter_silence; });
    reply.gateways.push_back(parts_.state.settings().peer);
    for (const auto& [peer, it] : reporters_)
    {
        reply.gateways.push_back(peer);
    }
    parts_.state.set_gateways(reply.gateways);
    const key_assignment& current = parts_.state.assignment();
    if (got.version < current.version)
    {
        reply.assignment.push_back(current);
    }
    return write_keys_reply(reply);
}

result<Json::Value> key_agent::take_update(const Json::Value& params)
{
    BOOST_LEAF_AUTO(got, read_key_assignment(params));
    adopt(got);
    return Json::Value(Json::objectValue);
}

void key_agent::adopt(const key_assignment& assignment)
{
    if (parts_.state.set_assignment(assignment, parts_.loop.now()))
    {
        parts_.log.events().write(event_id::assignment_in_force,
                                  {{"term", assignment.version.term},
                                   {"change", assignment.version.change},
                                   {"writer", assignment.writer}});
    }
}

void key_agent::publish(const key_assignment& assignment)
{
    adopt(assignment);
    for (const auto& [peer, it] : reporters_)
    {
        send_update(peer);
    }
}

void key_agent::send_update(const endpoint& to)
{
    reporter& it = reporters_[to];
    const assignment_version version = parts_.state.assignment().version;
    if (it.is_busy || it.sent >= version || !role_.is_holder())
    {
        return;
    }
    it.is_busy = true;
    it.sent = version;
    rpc_.call(to,
              "keys.update",
              write_key_assignment(parts_.state.assignment()),
              update_timeout,
              [this, to, alive = std::weak_ptr<const bool>(alive_)](const rpc_result& got)
              {
                  if (alive.expired())
                  {
                      return;
                  }
                  auto found = reporters_.find(to);
                  if (found == reporters_.end())
                  {
                      return;
                  }
                  found->second.is_busy = false;
                  if (got.end == rpc_end::answered)
                  {
                      send_update(to);
                  }
                  else
                  {
                      rpc_.drop_connections(to);
                  }
              });
}

// The record lacks what is moving, which servers then refuse.
void key_agent::read_record()
{
    const bool is_heard = parts_.loop.now() - heard_ < assigner_silence;
    if (!is_heard && !role_.is_holder() && !parts_.state.keyed_services().empty())
    {
        fetch_record();
    }
}

void key_agent::fetch_record()
{
    parts_.store.get(
        keys_record_key,
        [this, alive = std::weak_ptr<const bool>(alive_)](const store_read& got)
        {
            const bool is_there =
                !alive.expired() && got.end == store_end::done && !got.entries.empty();
            if (!is_there)
            {
                return;
            }
            value_or_handle(
                [&]() -> result<void>
                {
                    BOOST_LEAF_AUTO(record,
                                    parse_key_assignment(got.entries.front().value));
                    adopt(record);
                    return {};
                },
                [&](const error& ec) {
                    parts_.log.events().write(event_id::record_unreadable,
                                              {{"text", ec.text}});
                });
        });
}

} // namespace camphorrock
