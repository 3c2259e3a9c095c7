#include "gateway/key_agent.hpp"

#include "codec/json_text.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration min_report_period = milliseconds(300);
constexpr duration max_report_period = seconds(2);
// Bounds the assigner's work: the rate of the reports of the whole fleet.
constexpr duration report_period_per_gateway = milliseconds(10);
constexpr duration prompt_period_per_gateway = milliseconds(1); // after refusals of keys
constexpr duration report_timeout = milliseconds(500);
constexpr duration update_timeout = milliseconds(300);
// A gateway that has not reported for this long, or for longer in a large fleet, gets no
// more updates.
constexpr duration min_reporter_timeout = seconds(3);
constexpr duration record_poll_period = seconds(1); // while the assigner is unresponsive
// The assigner is unresponsive after this long without a reply, or longer in a large
// fleet.
constexpr duration min_assigner_timeout = milliseconds(1500);
constexpr std::size_t max_pending_keys = 4096;

} // namespace

key_agent::key_agent(const assigner_role_context& context,
                     rpc_client& rpc,
                     rpc_server& server)
    : context_(context), rpc_(rpc), role_(
                                        context,
                                        [this](const key_assignment& it) { publish(it); },
                                        [this] { on_holder_changed(); })
{
    server.add("keys.report",
               [this](const Json::Value& params) { return handle_report(params); });
    server.add("keys.update",
               [this](const Json::Value& params) { return handle_update(params); });
    server.add("keys.ended",
               [this](const Json::Value& params) { return handle_term_end(params); });
    server.add("keys.restarted",
               [this](const Json::Value& params) { return handle_restart(params); });
    server.add("keys.end_term",
               [this](const Json::Value& params) { return handle_end_term(params); });
    schedule_report(context_.loop.now() + min_report_period);
    record_poll_timer_ =
        context_.loop.every(record_poll_period, [this] { poll_record(); });
    // Servers may still hold keys that an earlier process of the fleet has granted.
    fetch_record();
}

key_requests& key_agent::pending_requests_of(const service_name& service)
{
    for (key_requests& it : pending_requests_)
    {
        if (it.service == service)
        {
            return it;
        }
    }
    pending_requests_.push_back({service, {}, {}});
    return pending_requests_.back();
}

void key_agent::add_request(const service_name& service, shard_key key)
{
    if (role_.is_assigner())
    {
        role_.add_load(service, key);
        return;
    }
    std::vector<unsigned>& keys = pending_requests_of(service).keys;
    if (keys.size() < max_pending_keys)
    {
        keys.push_back(key.value);
    }
}

void key_agent::add_refusal(const service_name& service, shard_key key)
{
    if (role_.is_assigner())
    {
        role_.add_refusal(service, key);
        return;
    }
    std::vector<unsigned>& keys = pending_requests_of(service).refused;
    if (keys.size() < max_pending_keys)
    {
        keys.push_back(key.value);
    }
    schedule_prompt_report();
}

bool key_agent::has_assignments() const
{
    for (const service_name& it : context_.state.keyed_services())
    {
        const service_key_ranges* row = context_.state.assignment().find_service(it);
        if (row == nullptr || row->key_ranges.empty())
        {
            return false;
        }
    }
    return true;
}

duration key_agent::report_period() const
{
    const auto gateways = static_cast<int>(context_.state.gateways().size());
    return std::clamp<duration>(
        report_period_per_gateway * gateways, min_report_period, max_report_period);
}

void key_agent::schedule_report(time_point at)
{
    next_report_at_ = at;
    report_timer_ =
        context_.loop.at(at,
                         [this]
                         {
                             schedule_report(context_.loop.now() + report_period());
                             send_report();
                         });
}

void key_agent::schedule_prompt_report()
{
    const auto gateways = static_cast<int>(context_.state.gateways().size());
    const time_point at = std::max(
        context_.loop.now(), last_report_sent_ + prompt_period_per_gateway * gateways);
    if (at < next_report_at_)
    {
        schedule_report(at);
    }
}

// All gateways learn of a new assigner at the same time. Unless the fleet is known to be
// small, they spread their first reports over a report period, so that it can answer
// them and still renew its lease.
void key_agent::on_holder_changed()
{
    context_.state.set_assigner(role_.holder());
    term_end_known_to_.reset();
    send_term_end();
    predecessor_timer_.reset();
    if (role_.holder() == context_.state.settings().peer)
    {
        predecessor_questions_ = 0;
        ask_predecessor();
    }
    const bool is_small =
        !context_.state.gateways().empty() && context_.state.groups().is_single_group();
    if (is_small)
    {
        schedule_prompt_report();
        return;
    }
    const auto spread = static_cast<duration::rep>(context_.state.random()());
    schedule_report(context_.loop.now() + duration(spread % report_period().count()));
}

void key_agent::send_report()
{
    send_term_end();
    const gateway_settings& settings = context_.state.settings();
    const bool is_assigner = role_.is_assigner() || role_.holder() == settings.peer;
    if (is_assigner || !role_.holder())
    {
        pending_requests_.clear();
        return;
    }
    if (is_report_in_flight_)
    {
        is_report_pending_ = true;
        return;
    }
    is_report_in_flight_ = true;
    is_report_pending_ = false;
    last_report_sent_ = context_.loop.now();
    keys_report report{settings.id,
                       context_.state.self(),
                       fleet_hash(context_.state.gateways()),
                       context_.state.assignment().version,
                       std::exchange(pending_requests_, {})};
    const endpoint to = *role_.holder();
    rpc_.call(to,
              "keys.report",
              write_keys_report(report),
              report_timeout,
              [this, to, alive = std::weak_ptr<const bool>(alive_)](const rpc_result& got)
              {
                  if (!alive.expired())
                  {
                      on_report_reply(to, got);
                  }
              });
}

void key_agent::on_report_reply(const endpoint& to, const rpc_result& got)
{
    is_report_in_flight_ = false;
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
    last_assigner_reply_ = context_.loop.now();
    if (!reply.gateways.empty())
    {
        context_.state.set_gateways(reply.gateways);
    }
    apply_update(reply.update);
    if (is_report_pending_)
    {
        schedule_prompt_report();
    }
}

result<Json::Value> key_agent::handle_report(const Json::Value& params)
{
    BOOST_LEAF_AUTO(got, read_keys_report(params));
    keys_reply reply;
    reply.is_assigner = role_.is_assigner();
    if (!reply.is_assigner)
    {
        return write_keys_reply(reply);
    }
    const time_point now = context_.loop.now();
    const auto [place, is_new] = reporters_.try_emplace(got.sender.peer);
    reporter& from = place->second;
    from.last_report_at = now;
    from.has_reported = true;
    from.sender = got.sender;
    for (const key_requests& it : got.services)
    {
        for (unsigned key : it.keys)
        {
            role_.add_load(it.service, shard_key{key});
        }
        for (unsigned key : it.refused)
        {
            role_.add_refusal(it.service, shard_key{key});
        }
    }
    const duration timeout =
        std::max<duration>(min_reporter_timeout, 3 * report_period());
    const std::size_t lost = std::erase_if(
        reporters_,
        [&](const auto& it) { return now - it.second.last_report_at > timeout; });
    if (is_new || lost > 0)
    {
        context_.state.set_gateways(reporting_fleet());
    }
    if (got.known_fleet_hash != fleet_hash(context_.state.gateways()))
    {
        reply.gateways = context_.state.gateways();
    }
    reply.update = update_since(got.version);
    // If the reply is lost, the next report says so.
    from.known_version = context_.state.assignment().version;
    return write_keys_reply(reply);
}

// This gateway and those that report to it.
std::vector<fleet_gateway> key_agent::reporting_fleet() const
{
    std::vector<fleet_gateway> all{context_.state.self()};
    for (const auto& [peer, it] : reporters_)
    {
        all.push_back(it.sender);
    }
    return all;
}

result<Json::Value> key_agent::handle_update(const Json::Value& params)
{
    BOOST_LEAF_AUTO(got, read_keys_update(params));
    apply_update(got);
    return Json::Value(Json::objectValue);
}

keys_update key_agent::update_since(assignment_version known_version) const
{
    keys_update update;
    const key_assignment& current = context_.state.assignment();
    if (known_version >= current.version)
    {
        return update;
    }
    if (std::optional<std::vector<assignment_delta>> steps =
            history_.steps_since(known_version))
    {
        update.steps = std::move(*steps);
        return update;
    }
    update.full_assignment.push_back(current);
    return update;
}

// A step whose base is not the current assignment changes nothing. The next report states
// the current version, and its reply brings what is missing.
void key_agent::apply_update(const keys_update& update)
{
    for (const assignment_delta& step : update.steps)
    {
        if (const auto next = apply(context_.state.assignment(), step))
        {
            adopt(*next);
        }
    }
    const bool is_step_missing =
        !update.steps.empty() &&
        context_.state.assignment().version < update.steps.back().version;
    if (is_step_missing)
    {
        schedule_prompt_report();
    }
    for (const key_assignment& it : update.full_assignment)
    {
        adopt(it);
    }
}

void key_agent::adopt(const key_assignment& assignment)
{
    if (context_.state.set_assignment(assignment, context_.loop.now()))
    {
        context_.log.events().write(event_id::assignment_in_force,
                                    {{"term", assignment.version.term},
                                     {"change", assignment.version.change},
                                     {"writer", assignment.writer}});
    }
}

// The fleet is what the last assigner knew, until gateways do not report for long. A part
// of it would make the others believe that they are few.
void key_agent::begin_term()
{
    term_began_at_ = role_.elected_at();
    reporters_.clear();
    for (const fleet_gateway& it : context_.state.gateways())
    {
        if (it.peer != context_.state.settings().peer)
        {
            reporters_[it.peer] = {it, term_began_at_, false, false, {}};
        }
    }
}

void key_agent::publish(const key_assignment& assignment)
{
    if (term_began_at_ != role_.elected_at())
    {
        begin_term();
    }
    adopt(assignment);
    history_.add_assignment(assignment);
    for (const auto& [peer, it] : reporters_)
    {
        send_update(peer);
    }
}

void key_agent::send_update(const endpoint& to)
{
    reporter& it = reporters_[to];
    const assignment_version version = context_.state.assignment().version;
    // Gateways that have not reported yet get the full assignment in the reply, one after
    // the other: all at once, it would keep this gateway's link from the orders.
    if (!it.has_reported || it.is_update_in_flight || it.known_version >= version ||
        !role_.is_assigner())
    {
        return;
    }
    it.is_update_in_flight = true;
    rpc_.call(to,
              "keys.update",
              write_keys_update(update_since(it.known_version)),
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
                  found->second.is_update_in_flight = false;
                  if (got.end == rpc_end::answered)
                  {
                      found->second.known_version =
                          std::max(found->second.known_version, version);
                      send_update(to);
                  }
                  else
                  {
                      rpc_.drop_connections(to);
                  }
              });
}

// The record does not say which keys are moving. Servers refuse requests for those.
void key_agent::poll_record()
{
    const duration timeout =
        std::max<duration>(min_assigner_timeout, 2 * report_period());
    const bool is_assigner_responsive =
        context_.loop.now() - last_assigner_reply_ < timeout;
    if (!is_assigner_responsive && !role_.is_assigner() &&
        !context_.state.keyed_services().empty())
    {
        fetch_record();
    }
}

void key_agent::fetch_record()
{
    // Only a newer assignment is adopted, so a stale record does no harm.
    context_.store.get_stale(
        record_key_of(context_.store.era()),
        [this, alive = std::weak_ptr<const bool>(alive_)](const store_read& got)
        {
            const bool is_present =
                !alive.expired() && got.end == store_end::done && !got.entries.empty();
            if (!is_present)
            {
                return;
            }
            value_or_handle(
                [&]() -> result<void>
                {
                    BOOST_LEAF_AUTO(record,
                                    parse_key_assignment(got.entries.front().value));
                    role_.note_writer(record);
                    send_term_end();
                    adopt(record);
                    return {};
                },
                [&](const error& ec) {
                    context_.log.events().write(event_id::record_unreadable,
                                                {{"text", ec.text}});
                });
        });
}

} // namespace camphorrock
