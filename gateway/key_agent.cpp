#include "gateway/key_agent.hpp"

#include "codec/json_text.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration least_report_period = milliseconds(300);
constexpr duration longest_report_period = seconds(2);
constexpr duration report_period_a_gateway =
    milliseconds(10); // bounds the assigner's work
constexpr duration prompt_period_a_gateway = milliseconds(1); // where keys were refused
constexpr duration report_timeout = milliseconds(500);
constexpr duration update_timeout = milliseconds(300);
constexpr duration reporter_silence = seconds(3); // at least; then it gets no updates
constexpr duration record_period = seconds(1);    // of reads while the assigner is silent
constexpr duration assigner_silence = milliseconds(1500); // at least
constexpr std::size_t max_waiting_keys = 4096;

} // namespace

key_agent::key_agent(assigner_role_parts parts, rpc_client& rpc, rpc_server& server)
    : parts_(parts), rpc_(rpc), role_(
                                    parts,
                                    [this](const key_assignment& it) { publish(it); },
                                    [this] { holder_changed(); })
{
    server.add("keys.report",
               [this](const Json::Value& params) { return take_report(params); });
    server.add("keys.update",
               [this](const Json::Value& params) { return take_update(params); });
    report_at(parts_.loop.now() + least_report_period);
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
    report_promptly();
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

duration key_agent::report_period() const
{
    const auto gateways = static_cast<int>(parts_.state.gateways().size());
    return std::clamp<duration>(
        report_period_a_gateway * gateways, least_report_period, longest_report_period);
}

void key_agent::report_at(time_point at)
{
    report_due_ = at;
    report_timer_ = parts_.loop.at(at,
                                   [this]
                                   {
                                       report_at(parts_.loop.now() + report_period());
                                       report();
                                   });
}

void key_agent::report_promptly()
{
    const auto gateways = static_cast<int>(parts_.state.gateways().size());
    const time_point at =
        std::max(parts_.loop.now(), reported_ + prompt_period_a_gateway * gateways);
    if (at < report_due_)
    {
        report_at(at);
    }
}

// All gateways hear of a new assigner at once; in a large fleet their reports are spread,
// so that it can answer them.
void key_agent::holder_changed()
{
    const bool is_large = !parts_.state.groups().is_undivided();
    if (!is_large)
    {
        report_promptly();
        return;
    }
    const auto spread = static_cast<duration::rep>(parts_.state.random()());
    report_at(parts_.loop.now() + duration(spread % report_period().count()));
}

void key_agent::report()
{
    const gateway_settings& settings = parts_.state.settings();
    const bool is_own = role_.is_holder() || role_.holder() == settings.peer;
    if (is_own || !role_.holder())
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
    reported_ = parts_.loop.now();
    keys_report made{settings.id,
                     parts_.state.self(),
                     fleet_tag(parts_.state.gateways()),
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
    if (!reply.gateways.empty())
    {
        parts_.state.set_gateways(reply.gateways);
    }
    take(reply.update);
    if (is_report_due_)
    {
        report_promptly();
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
    const auto [place, is_new] = reporters_.try_emplace(got.sender.peer);
    reporter& from = place->second;
    from.seen = now;
    from.sender = got.sender;
    from.known = std::max(from.known, got.version);
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
    const duration silence = std::max<duration>(reporter_silence, 3 * report_period());
    const std::size_t lost = std::erase_if(
        reporters_, [&](const auto& it) { return now - it.second.seen > silence; });
    if (is_new || lost > 0)
    {
        parts_.state.set_gateways(fleet());
    }
    if (got.fleet != fleet_tag(parts_.state.gateways()))
    {
        reply.gateways = parts_.state.gateways();
    }
    reply.update = update_since(got.version);
    return write_keys_reply(reply);
}

std::vector<fleet_gateway> key_agent::fleet() const
{
    std::vector<fleet_gateway> all{parts_.state.self()};
    for (const auto& [peer, it] : reporters_)
    {
        all.push_back(it.sender);
    }
    return all;
}

result<Json::Value> key_agent::take_update(const Json::Value& params)
{
    BOOST_LEAF_AUTO(got, read_keys_update(params));
    take(got);
    return Json::Value(Json::objectValue);
}

keys_update key_agent::update_since(assignment_version known) const
{
    keys_update made;
    const key_assignment& current = parts_.state.assignment();
    if (known >= current.version)
    {
        return made;
    }
    if (std::optional<std::vector<assignment_delta>> steps = history_.since(known))
    {
        made.steps = std::move(*steps);
        return made;
    }
    made.whole.push_back(current);
    return made;
}

// Steps that lead from another assignment than the present one change nothing; the next
// report asks for what is missing.
void key_agent::take(const keys_update& update)
{
    for (const assignment_delta& step : update.steps)
    {
        if (const auto next = apply(parts_.state.assignment(), step))
        {
            adopt(*next);
        }
    }
    for (const key_assignment& it : update.whole)
    {
        adopt(it);
    }
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
    history_.note(assignment);
    for (const auto& [peer, it] : reporters_)
    {
        send_update(peer);
    }
}

void key_agent::send_update(const endpoint& to)
{
    reporter& it = reporters_[to];
    const assignment_version version = parts_.state.assignment().version;
    if (it.is_busy || it.known >= version || !role_.is_holder())
    {
        return;
    }
    it.is_busy = true;
    rpc_.call(to,
              "keys.update",
              write_keys_update(update_since(it.known)),
              update_timeout,
              [this, to, version, alive = std::weak_ptr<const bool>(alive_)](
                  const rpc_result& got)
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
                      found->second.known = std::max(found->second.known, version);
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
    const duration silence = std::max<duration>(assigner_silence, 2 * report_period());
    const bool is_heard = parts_.loop.now() - heard_ < silence;
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
