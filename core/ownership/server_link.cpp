#include "core/ownership/server_link.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// Returns the shortest time that `span`, measured on another clock, can take on this one.
duration without_drift(duration span, const ownership_options& options)
{
    return span - (with_drift(span, options) - span);
}

bool covers(const hash_range& outer, const hash_range& inner)
{
    return outer.first <= inner.first && inner.last <= outer.last;
}

bool contains(const std::vector<granted_partition>& list, const partition_entry& entry)
{
    return std::any_of(list.begin(),
                       list.end(),
                       [&](const granted_partition& it) {
                           return it.since == entry.since &&
                                  covers(it.range, entry.range);
                       });
}

} // namespace

server_link::server_link(ownership_options options,
                         std::optional<time_point> predecessor_until,
                         time_point now)
    : options_(options), predecessor_until_(predecessor_until), last_unresolved_at_(now),
      responsive_since_(now), last_answer_at_(now), last_checked_at_(now)
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

// Returns the state of a partition of the new record. Partitions that split or merge
// within an epoch keep their grants.
server_link::partition_state server_link::carry_over(const partition_entry& entry,
                                                     time_point now) const
{
    partition_state next;
    next.entry = entry;
    next.drain_until = now + options_.drain_limit;
    if (predecessor_until_)
    {
        next.may_hold_until =
            *predecessor_until_ + with_drift(options_.authority_ttl, options_);
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

void server_link::send_due_messages(time_point authority_until,
                                    time_point now,
                                    server_exchange_id& last_exchange,
                                    scheduler_actions& actions)
{
    if (options_.pause_threshold < now - last_checked_at_)
    {
        last_answer_at_ = now;
        first_refusal_at_ = time_point::max();
    }
    last_checked_at_ = now;
    forget_expired_requests(now);
    update_quiescence(now);
    send_revokes(now, last_exchange, actions);
    bool is_clock_due = !clock_sample_ && clock_due_ <= now;
    bool is_grant_due = clock_sample_ && now < authority_until && grant_due_ <= now &&
                        has_missing_grant(now);
    if (renew_due_ <= now || is_clock_due || is_grant_due)
    {
        renew_due_ = now + options_.renew_period;
        send_grants(authority_until, now, last_exchange, actions);
    }
}

// Returns the TTL of a grant sent now, or zero if none may be sent. The server counts the
// TTL from the clock reading in the grant, and the grant ends with the authority.
duration server_link::grant_ttl(time_point authority_until, time_point now) const
{
    if (!clock_sample_ || authority_until <= now)
    {
        return duration{};
    }
    duration ttl =
        std::min(options_.grant_ttl, authority_until - clock_sample_->received_at);
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
    bool is_clock_fresh =
        clock_sample_ && now < clock_sample_->sent_at + without_drift(ttl, options_);
    if (message.partitions.empty() || !is_clock_fresh)
    {
        clock_due_ = now + options_.retry_period;
        const exchange& probe = open_exchange(exchange_kind::clock, now, last_exchange);
        actions.push_back(send_clock{entry_.id, entry_.address, probe.id});
        return;
    }
    grant_due_ = now + options_.retry_period;
    exchange& grant = open_exchange(exchange_kind::grant, now, last_exchange);
    grant.valid_until = clock_sample_->sent_at + without_drift(ttl, options_);
    for (auto& [first, it] : partitions_)
    {
        if (it.entry.moving_to.empty())
        {
            time_point lapse = clock_sample_->received_at + with_drift(ttl, options_);
            it.may_hold_until = std::max(it.may_hold_until, lapse);
        }
    }
    message.as_of = clock_sample_->clock;
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
        bool is_revocable = !it.entry.moving_to.empty() && is_drained(it, now);
        if (is_revocable && !it.is_revoke_acknowledged && now < it.may_hold_until)
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
    last_answer_at_ = now;
    first_refusal_at_ = time_point::max();
    if (!clock_sample_ || clock_sample_->sent_at <= ended->sent_at)
    {
        clock_sample_ = clock_sample{reply.clock, ended->sent_at, now};
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
        first_refusal_at_ = std::min(first_refusal_at_, now);
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
    is_quiescent_ = false;
    last_unresolved_at_ = last_checked_at_;
}

// A request ends within max_request_time of running time of the server. The passing of
// that time proves nothing for a frozen process; it does if the server has answered
// throughout, or if its process has ended, which refused connections show.
void server_link::update_quiescence(time_point now)
{
    duration limit = with_drift(options_.max_request_time, options_);
    bool is_unresponsive = last_answer_at_ + options_.unresponsive_server_timeout <= now;
    if (is_unresponsive)
    {
        responsive_since_ = now;
    }
    bool is_refusing = first_refusal_at_ != time_point::max();
    time_point proven_from = is_refusing
                                 ? std::max(first_refusal_at_, last_unresolved_at_)
                                 : std::max(responsive_since_, last_unresolved_at_);
    if ((is_refusing || !is_unresponsive) && proven_from + limit <= now)
    {
        is_quiescent_ = true;
    }
}

void server_link::forget_expired_requests(time_point now)
{
    duration limit = with_drift(options_.max_request_time, options_);
    std::erase_if(requests_,
                  [&](const request_in_flight& it)
                  { return it.is_ended && it.sent_at + limit <= now; });
}

server_condition server_link::condition(time_point now) const
{
    bool is_unresponsive = last_answer_at_ + options_.unresponsive_server_timeout <= now;
    bool is_refused = first_refusal_at_ != time_point::max() &&
                      first_refusal_at_ + options_.refusing_server_timeout <= now;
    if (is_unresponsive || is_refused)
    {
        return server_condition::lost;
    }
    return clock_sample_ ? server_condition::alive : server_condition::unknown;
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

std::size_t server_link::count_in_flight(const hash_range& range) const
{
    auto n =
        std::count_if(requests_.begin(),
                      requests_.end(),
                      [&](const request_in_flight& it) { return range.contains(it.at); });
    return static_cast<std::size_t>(n);
}

bool server_link::is_drained(const partition_state& state, time_point now) const
{
    if (count_in_flight(state.entry.range) == 0)
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
    return entry_.checks_epoch || is_quiescent_;
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
