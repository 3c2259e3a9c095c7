#include "core/admission/server_queue.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// Of this many slots, long requests may use one.
constexpr std::size_t slots_per_long_request = 3;

// The longest interval between two long requests that overtake waiting short ones.
constexpr duration max_overtake_interval = seconds(3600);

// The fewest slots from which the wait of short requests is computed.
constexpr double min_usable_slots = 1;

// Bounds of the random factor that spreads out retries.
constexpr double min_jitter = 0.5;
constexpr double max_jitter = 1.5;

duration scaled(duration value, double factor)
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

} // namespace

result<std::unique_ptr<server_queue>> server_queue::create(server_queue_options options,
                                                           std::mt19937_64& random)
{
    if (options.max_waiting == 0 || options.max_wait_fraction <= 0 ||
        options.max_wait_fraction > 1 || options.unrepeatable_margin < 1 ||
        options.min_long_fraction < 0 || options.min_long_fraction > 1)
    {
        return fail(
            error_code::invalid_argument,
            "server_queue: an option is out of range: max_waiting must be positive, "
            "max_wait_fraction in (0, 1], unrepeatable_margin at least 1, "
            "min_long_fraction in [0, 1]");
    }
    return std::unique_ptr<server_queue>(new server_queue(options, random));
}

server_queue::server_queue(server_queue_options options, std::mt19937_64& random)
    : options_(options), random_(random), slots_(options.slots),
      service_times_(options.service_times), limit_(options.in_flight_limit),
      short_queue_(options.fairness), long_queue_(options.fairness)
{
}

void server_queue::arrive(const queued_request& request,
                          time_point now,
                          queue_actions& out)
{
    if (!short_load_)
    {
        // Starts with the load of one slot: short requests are expected until their
        // absence has been observed.
        short_load_ = decayed_rate(1, now);
    }
    refuse_expired(now, out);
    if (slots_ == 0)
    {
        refuse(request.id, refusal_reason::no_slots, out);
        return;
    }
    if (waiting_.size() >= options_.max_waiting)
    {
        refuse(request.id, refusal_reason::queue_full, out);
        return;
    }
    const service_time_estimate estimate =
        service_times_.estimate(request.caller, request.route, request.is_declared_long);
    time_point latest_start = request.deadline - time_needed(request, estimate);
    if (latest_start < now && try_idle_slot(request, estimate, now))
    {
        latest_start = now;
    }
    const duration max_wait = scaled(latest_start - now, options_.max_wait_fraction);
    const fair_position at =
        queue_for(estimate.is_long).next_position(request.caller, now);
    if (latest_start < now ||
        expected_wait(estimate.is_long, at, max_wait, now) > max_wait)
    {
        refuse(request.id, refusal_reason::deadline, out);
        return;
    }
    enqueue(request, estimate, latest_start, now);
    start_waiting(now, out);
}

void server_queue::finished(ticket id,
                            const service_report& report,
                            time_point now,
                            queue_actions& out)
{
    const auto it = in_flight_.find(id);
    if (it == in_flight_.end())
    {
        return;
    }
    observe_finished(it->second, report, now);
    in_flight_.erase(it);
    tick(now, out);
}

void server_queue::cancelled(ticket id, time_point now, queue_actions& out)
{
    if (waiting_.contains(id))
    {
        remove_waiting(id);
    }
    in_flight_.erase(id);
    tick(now, out);
}

void server_queue::slots_changed(std::size_t slots, time_point now, queue_actions& out)
{
    slots_ = slots;
    if (slots_ == 0)
    {
        refuse_all(out);
    }
    tick(now, out);
}

void server_queue::tick(time_point now, queue_actions& out)
{
    refuse_expired(now, out);
    start_waiting(now, out);
}

std::optional<time_point> server_queue::next_tick() const
{
    if (by_latest_start_.empty())
    {
        return std::nullopt;
    }
    return by_latest_start_.begin()->first + duration(1);
}

std::size_t server_queue::in_flight_limit() const
{
    return limit_.limit_for(slots_);
}

std::size_t server_queue::long_slots(time_point now) const
{
    const std::size_t allowed = in_flight_limit();
    const std::size_t third = std::max<std::size_t>(1, allowed / slots_per_long_request);
    const bool is_short_load_low =
        short_load_ && short_queue_.empty() &&
        short_load_->at(now, options_.short_load_half_life) < options_.low_short_load;
    return is_short_load_low && third + 1 < allowed ? third + 1 : third;
}

std::size_t server_queue::long_in_flight(time_point now) const
{
    const duration threshold = service_times_.long_threshold();
    return static_cast<std::size_t>(std::count_if(
        in_flight_.begin(),
        in_flight_.end(),
        [&](const auto& entry)
        { return entry.second.is_long || now - entry.second.started_at > threshold; }));
}

fair_queue& server_queue::queue_for(bool is_long)
{
    return is_long ? long_queue_ : short_queue_;
}

// The number of slots from which the wait of short or long requests is computed.
double server_queue::usable_slots(bool is_long, time_point now) const
{
    if (is_long)
    {
        return static_cast<double>(long_slots(now));
    }
    const auto allowed = static_cast<double>(in_flight_limit());
    const auto used_by_long = static_cast<double>(long_in_flight(now));
    const double least_long =
        long_queue_.empty() ? 0 : options_.min_long_fraction * allowed;
    return std::max(allowed - std::max(used_by_long, least_long), min_usable_slots);
}

duration server_queue::expected_wait(bool is_long,
                                     const fair_position& at,
                                     duration stop_above,
                                     time_point now) const
{
    const fair_queue& ahead = is_long ? long_queue_ : short_queue_;
    const double n = usable_slots(is_long, now);
    return scaled(ahead.work_before(at, scaled(stop_above, n)), 1 / n);
}

duration server_queue::time_needed(const queued_request& request,
                                   const service_time_estimate& estimate) const
{
    return request.is_repeatable ? estimate.bound
                                 : scaled(estimate.bound, options_.unrepeatable_margin);
}

// Returns whether to admit a request whose service time bound ends after its deadline. An
// idle slot takes it if its mean ends in time, or as a probe, at most once in each probe
// interval.
bool server_queue::try_idle_slot(const queued_request& request,
                                 const service_time_estimate& estimate,
                                 time_point now)
{
    // Requests that already wait while a slot is free are not allowed to use that slot.
    const bool has_idle_slot = in_flight_.size() < in_flight_limit();
    const bool may_start = !estimate.is_long || long_in_flight(now) < long_slots(now);
    const bool may_end_late = request.is_repeatable && now < request.deadline;
    if (!has_idle_slot || !may_start || !may_end_late)
    {
        return false;
    }
    if (now + estimate.mean <= request.deadline)
    {
        return true;
    }
    const bool is_probe = now >= next_probe_;
    next_probe_ = is_probe ? now + options_.probe_interval : next_probe_;
    return is_probe;
}

void server_queue::observe_finished(const in_flight_request& ended,
                                    const service_report& report,
                                    time_point now)
{
    if (report.answer == answer_kind::shed)
    {
        limit_.observe_shed(in_flight_.size() - 1, now);
        return;
    }
    const duration bound = service_times_.estimate(ended.caller, ended.route).bound;
    const double bounds = static_cast<double>(report.service_time.count()) /
                          static_cast<double>(std::max(bound, duration(1)).count());
    const bool is_slow = bounds > options_.slow_bound_factor;
    const bool is_failed = report.answer == answer_kind::failed;
    if (report.answer == answer_kind::good || is_failed || is_slow)
    {
        limit_.observe(is_failed || is_slow, slots_, now);
    }
    if (!ended.is_long)
    {
        const std::chrono::duration<double> slot_time = report.service_time;
        short_load_->add(slot_time.count(), now, options_.short_load_half_life);
    }
    if (!is_failed)
    {
        // Limits the influence of a single slow request and of waits inside the server.
        const bool is_known = bound != options_.service_times.initial_estimate;
        const duration learned = is_slow && is_known
                                     ? scaled(bound, options_.slow_bound_factor)
                                     : report.service_time;
        service_times_.observe(ended.caller, ended.route, learned);
    }
}

void server_queue::enqueue(const queued_request& request,
                           const service_time_estimate& estimate,
                           time_point latest_start,
                           time_point now)
{
    const fair_position at = queue_for(estimate.is_long)
                                 .push(request.id,
                                       request.caller,
                                       estimate.mean,
                                       usable_slots(estimate.is_long, now),
                                       now);
    waiting_.emplace(request.id,
                     waiting_request{request, at, now, latest_start, estimate.is_long});
    by_latest_start_.emplace(latest_start, request.id);
}

void server_queue::refuse_expired(time_point now, queue_actions& out)
{
    while (!by_latest_start_.empty() && by_latest_start_.begin()->first < now)
    {
        const ticket id = by_latest_start_.begin()->second;
        const waiting_request expired = remove_waiting(id);
        refuse(expired.request.id, refusal_reason::deadline, out);
    }
}

void server_queue::refuse_all(queue_actions& out)
{
    while (!by_latest_start_.empty())
    {
        const ticket id = by_latest_start_.begin()->second;
        remove_waiting(id);
        refuse(id, refusal_reason::no_slots, out);
    }
}

void server_queue::start_waiting(time_point now, queue_actions& out)
{
    while (in_flight_.size() < in_flight_limit())
    {
        fair_queue* from = choose_queue(now);
        if (from == nullptr)
        {
            return;
        }
        start_front(*from, now, out);
    }
}

// The queue whose first request starts next, or null if none may start. While short
// requests wait, a long one yields to them until it is due. Then it goes first: there are
// slots that only short requests may use.
fair_queue* server_queue::choose_queue(time_point now)
{
    const bool long_may_start =
        !long_queue_.empty() && long_in_flight(now) < long_slots(now);
    if (short_queue_.empty())
    {
        return long_may_start ? &long_queue_ : nullptr;
    }
    if (!long_may_start)
    {
        return &short_queue_;
    }
    return now >= next_overtake_ && is_long_due(now) ? &long_queue_ : &short_queue_;
}

// Whether the first long request has yielded for long_deferral_fraction of its slack. The
// time that all waiting long requests need counts as elapsed.
bool server_queue::is_long_due(time_point now) const
{
    const waiting_request& first = waiting_.find(long_queue_.front().id)->second;
    const duration slack = first.latest_start - first.arrival;
    const duration backlog =
        long_queue_.work() / static_cast<duration::rep>(long_slots(now));
    return now + backlog >=
           first.arrival + scaled(slack, options_.long_deferral_fraction);
}

// The interval in which one long request of this cost uses min_long_fraction of the slot
// time.
duration server_queue::overtake_interval(duration cost) const
{
    const double long_share =
        options_.min_long_fraction * static_cast<double>(in_flight_limit());
    const double longest = static_cast<double>(max_overtake_interval.count());
    const double interval =
        static_cast<double>(cost.count()) / std::max(long_share, 1e-9);
    return duration(static_cast<duration::rep>(std::min(interval, longest)));
}

void server_queue::start_front(fair_queue& from, time_point now, queue_actions& out)
{
    const fair_position at = from.front();
    const auto it = waiting_.find(at.id);
    const waiting_request& chosen = it->second;
    in_flight_.emplace(
        at.id,
        in_flight_request{
            chosen.request.caller, chosen.request.route, now, chosen.is_long});
    if (chosen.is_long)
    {
        next_overtake_ = now + overtake_interval(at.cost);
    }
    by_latest_start_.erase({chosen.latest_start, at.id});
    from.start(at, chosen.request.caller);
    waiting_.erase(it);
    out.emplace_back(start_request{at.id});
}

void server_queue::refuse(ticket id, refusal_reason reason, queue_actions& out)
{
    out.emplace_back(refuse_request{id, reason, retry_after()});
}

// The time until the requests that wait now are expected to be done, jittered.
duration server_queue::retry_after()
{
    const auto n =
        static_cast<duration::rep>(std::max<std::size_t>(1, in_flight_limit()));
    const duration backlog = (short_queue_.work() + long_queue_.work()) / n;
    std::uniform_real_distribution<double> jitter(min_jitter, max_jitter);
    return scaled(std::max(backlog, options_.min_retry_after), jitter(random_));
}

server_queue::waiting_request server_queue::remove_waiting(ticket id)
{
    const auto it = waiting_.find(id);
    waiting_request removed = std::move(it->second);
    waiting_.erase(it);
    by_latest_start_.erase({removed.latest_start, id});
    queue_for(removed.is_long).cancel(removed.position, removed.request.caller);
    return removed;
}

} // namespace camphorrock
