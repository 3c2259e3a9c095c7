#include "core/ownership/server_link.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// The shortest that `span` of another clock can last on this one.
duration without_drift(duration span, const ownership_options& options)
{
    return span - (with_drift(span, options) - span);
}

bool holds(const hash_range& outer, const hash_range& inner)
{
    return outer.first <= inner.first && inner.last <= outer.last;
}

bool contains(const std::vector<granted_partition>& list, const partition_entry& entry)
{
    return std::any_of(list.begin(),
                       list.end(),
                       [&](const granted_partition& it) {
                           return it.since == entry.since && holds(it.range, entry.range);
                       });
}

} // namespace

server_link::server_link(ownership_options options,
                         std::optional<time_point> inherited_at,
                         time_point now)
    : options_(options), inherited_at_(inherited_at), doubtful_at_(now),
      responsive_at_(now), heard_at_(now), driven_at_(now)
{
}

void server_link::update(const server_entry& entry,
                         const std::vector<partition_entry>& partitions,
                         time_point now)
{
    entry_ = entry;
    std::map<key_hash, partition_state> next;
    for (const partition_entry& it : partitions)
    {
        next.emplace(it.range.first, carry_over(it, now));
    }
    partitions_ = std::move(next);
}

// Partitions of one epoch split and merge without losing their grants.
server_link::partition_state server_link::carry_over(const partition_entry& entry,
                                                     time_point now) const
{
    partition_state next;
    next.entry = entry;
    next.drain_until = now + options_.drain_limit;
    if (inherited_at_)
    {
        next.may_hold_until =
            *inherited_at_ + with_drift(options_.authority_ttl, options_);
    }
    bool is_first = true;
    for (const auto& [first, old] : partitions_)
    {
        if (!old.entry.range.overlaps(entry.range))
        {
            continue;
        }
        next.may_hold_until = std::max(next.may_hold_until, old.may_hold_until);
        if (old.entry.since != entry.since)
        {
            continue;
        }
        next.granted_until = is_first ? old.granted_until
                                      : std::min(next.granted_until, old.granted_until);
        next.is_revoke_acknowledged = old.is_revoke_acknowledged;
        if (!old.entry.moving_to.empty())
        {
            next.drain_until = old.drain_until;
        }
        is_first = false;
    }
    return next;
}

void server_link::drive(time_point authority_until,
                        time_point now,
                        server_exchange_id& last_exchange,
                        scheduler_actions& actions)
{
    if (options_.pause_limit < now - driven_at_)
    {
        heard_at_ = now;
        refused_at_ = time_point::max();
    }
    driven_at_ = now;
    forget_old_requests(now);
    note_clean(now);
    send_revokes(now, last_exchange, actions);
    bool is_clock_due = !echo_ && clock_due_ <= now;
    bool is_grant_due =
        echo_ && now < authority_until && grant_due_ <= now && has_missing_grant(now);
    if (renew_due_ <= now || is_clock_due || is_grant_due)
    {
        renew_due_ = now + options_.renew_period;
        send_grants(authority_until, now, last_exchange, actions);
    }
}

// The life of a grant counts from the reading that it echoes, and ends with the
// authority.
duration server_link::grant_ttl(time_point authority_until, time_point now) const
{
    if (!echo_ || authority_until <= now)
    {
        return duration{};
    }
    duration ttl = std::min(options_.grant_ttl, authority_until - echo_->received_at);
    return std::chrono::floor<milliseconds>(ttl);
}

void server_link::send_grants(time_point authority_until,
                              time_point now,
                              server_exchange_id& last_exchange,
                              scheduler_actions& actions)
{
    grant_message message;
    for (const auto& [first, it] : partitions_)
    {
        if (it.entry.moving_to.empty())
        {
            message.partitions.push_back({it.entry.range, it.entry.since});
        }
    }
    duration ttl = grant_ttl(authority_until, now);
    bool is_useful = echo_ && now < echo_->sent_at + without_drift(ttl, options_);
    if (message.partitions.empty() || !is_useful)
    {
        clock_due_ = now + options_.retry_period;
        const exchange& probe = open_exchange(exchange_kind::clock, now, last_exchange);
        actions.push_back(send_clock{entry_.id, entry_.address, probe.id});
        return;
    }
    grant_due_ = now + options_.retry_period;
    exchange& grant = open_exchange(exchange_kind::grant, now, last_exchange);
    grant.valid_until = echo_->sent_at + without_drift(ttl, options_);
    for (auto& [first, it] : partitions_)
    {
        if (it.entry.moving_to.empty())
        {
            time_point lapse = echo_->received_at + with_drift(ttl, options_);
            it.may_hold_until = std::max(it.may_hold_until, lapse);
        }
    }
    message.as_of = echo_->clock;
    message.ttl = std::chrono::floor<milliseconds>(ttl);
    actions.push_back(
        send_grant{entry_.id, entry_.address, grant.id, std::move(message)});
}

void server_link::send_revokes(time_point now,
                               server_exchange_id& last_exchange,
                               scheduler_actions& actions)
{
    if (now < revoke_due_)
    {
        return;
    }
    revoke_message message;
    for (const auto& [first, it] : partitions_)
    {
        bool is_wanted = !it.entry.moving_to.empty() && is_drained(it, now);
        if (is_wanted && !it.is_revoke_acknowledged && now < it.may_hold_until)
        {
            message.partitions.push_back({it.entry.range, it.entry.since});
        }
    }
    if (message.partitions.empty())
    {
        return;
    }
    revoke_due_ = now + options_.retry_period;
    const exchange& revoke = open_exchange(exchange_kind::revoke, now, last_exchange);
    actions.push_back(
        send_revoke{entry_.id, entry_.address, revoke.id, std::move(message)});
}

void server_link::answered(server_exchange_id id,
                           const server_reply& reply,
                           time_point now)
{
    std::optional<exchange> ended = close_exchange(id);
    if (!ended)
    {
        return;
    }
    heard_at_ = now;
    refused_at_ = time_point::max();
    if (!echo_ || echo_->sent_at <= ended->sent_at)
    {
        echo_ = echo{reply.clock, ended->sent_at, now};
    }
    if (ended->kind == exchange_kind::grant)
    {
        apply_grant_reply(*ended, reply);
    }
    if (ended->kind == exchange_kind::revoke)
    {
        apply_revoke_reply(reply);
    }
}

void server_link::apply_grant_reply(const exchange& ended, const server_reply& reply)
{
    for (auto& [first, it] : partitions_)
    {
        if (contains(reply.accepted, it.entry))
        {
            it.granted_until = std::max(it.granted_until, ended.valid_until);
        }
    }
}

void server_link::apply_revoke_reply(const server_reply& reply)
{
    for (auto& [first, it] : partitions_)
    {
        if (contains(reply.accepted, it.entry))
        {
            it.is_revoke_acknowledged = true;
        }
    }
}

void server_link::failed(server_exchange_id id,
                         bool is_connection_refused,
                         time_point now)
{
    if (close_exchange(id) && is_connection_refused)
    {
        refused_at_ = std::min(refused_at_, now);
    }
}

std::optional<time_point> server_link::admits_until(const partition_entry& partition,
                                                    time_point authority_until,
                                                    time_point now) const
{
    auto it = partitions_.find(partition.range.first);
    if (it == partitions_.end() || !partition.moving_to.empty())
    {
        return std::nullopt;
    }
    time_point until = authority_until;
    if (entry_.checks_epoch)
    {
        until = std::min(until, it->second.granted_until);
    }
    return now < until ? std::optional(until) : std::nullopt;
}

bool server_link::request_sent(std::uint64_t request, key_hash at, time_point now)
{
    if (requests_.size() >= options_.max_requests_in_flight)
    {
        return false;
    }
    requests_.push_back({request, at, now, false});
    return true;
}

void server_link::request_ended(std::uint64_t request, bool is_definite)
{
    auto it = std::find_if(requests_.begin(),
                           requests_.end(),
                           [&](const request_in_flight& one)
                           { return one.request == request && !one.is_ended; });
    if (it == requests_.end())
    {
        return;
    }
    it->is_ended = true;
    if (is_definite)
    {
        requests_.erase(it);
        return;
    }
    is_clean_ = false;
    doubtful_at_ = driven_at_;
}

// A request ends within max_request_time of a server that runs. One that is frozen proves
// nothing, however long it is waited for; one that answers all the while, or whose
// process is gone, does.
void server_link::note_clean(time_point now)
{
    duration limit = with_drift(options_.max_request_time, options_);
    bool is_silent = heard_at_ + options_.server_silence <= now;
    if (is_silent)
    {
        responsive_at_ = now;
    }
    bool is_gone = refused_at_ != time_point::max();
    time_point proven_from = is_gone ? std::max(refused_at_, doubtful_at_)
                                     : std::max(responsive_at_, doubtful_at_);
    if ((is_gone || !is_silent) && proven_from + limit <= now)
    {
        is_clean_ = true;
    }
}

void server_link::forget_old_requests(time_point now)
{
    duration limit = with_drift(options_.max_request_time, options_);
    std::erase_if(requests_,
                  [&](const request_in_flight& it)
                  { return it.is_ended && it.sent_at + limit <= now; });
}

server_condition server_link::condition(time_point now) const
{
    bool is_silent = heard_at_ + options_.server_silence <= now;
    bool is_refused =
        refused_at_ != time_point::max() && refused_at_ + options_.server_refused <= now;
    if (is_silent || is_refused)
    {
        return server_condition::lost;
    }
    return echo_ ? server_condition::alive : server_condition::unknown;
}

std::vector<granted_partition> server_link::released(time_point now) const
{
    std::vector<granted_partition> list;
    for (const auto& [first, it] : partitions_)
    {
        if (is_released(it, now))
        {
            list.push_back({it.entry.range, it.entry.since});
        }
    }
    return list;
}

std::size_t server_link::in_flight(const hash_range& range) const
{
    auto n =
        std::count_if(requests_.begin(),
                      requests_.end(),
                      [&](const request_in_flight& it) { return range.contains(it.at); });
    return static_cast<std::size_t>(n);
}

bool server_link::is_drained(const partition_state& state, time_point now) const
{
    if (in_flight(state.entry.range) == 0)
    {
        return true;
    }
    return entry_.checks_epoch && state.drain_until <= now;
}

bool server_link::is_released(const partition_state& state, time_point now) const
{
    if (state.entry.moving_to.empty() || !is_drained(state, now))
    {
        return false;
    }
    if (!state.is_revoke_acknowledged && now < state.may_hold_until)
    {
        return false;
    }
    return entry_.checks_epoch || is_clean_;
}

server_link::exchange& server_link::open_exchange(exchange_kind kind,
                                                  time_point now,
                                                  server_exchange_id& last_exchange)
{
    if (exchanges_.size() >= options_.max_exchanges)
    {
        exchanges_.erase(exchanges_.begin());
    }
    ++last_exchange.value;
    exchanges_.push_back({last_exchange, kind, now, time_point::min()});
    return exchanges_.back();
}

std::optional<server_link::exchange> server_link::close_exchange(server_exchange_id id)
{
    auto it = std::find_if(exchanges_.begin(),
                           exchanges_.end(),
                           [&](const exchange& one) { return one.id == id; });
    if (it == exchanges_.end())
    {
        return std::nullopt;
    }
    exchange ended = *it;
    exchanges_.erase(it);
    return ended;
}

bool server_link::has_missing_grant(time_point now) const
{
    return std::any_of(partitions_.begin(),
                       partitions_.end(),
                       [&](const auto& it)
                       {
                           const partition_state& state = it.second;
                           return state.entry.moving_to.empty() &&
                                  state.granted_until <= now;
                       });
}

} // namespace camphorrock
