#include "core/admission/server_queue.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// The part of the slots that long requests may take: one of three.
constexpr std::size_t slots_per_long = 3;

// The longest time between two long requests that pass waiting short ones.
constexpr duration longest_long_turn = seconds(3600);

// The fewest slots that a wait is reckoned with.
constexpr double least_usable = 1;

// Bounds of the factor that spreads the times to come back.
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
    if (options.max_waiting == 0 || options.admission_share <= 0 ||
        options.admission_share > 1 || options.unrepeatable_room < 1 ||
        options.least_long_share < 0 || options.least_long_share > 1)
    {
        return fail(error_code::invalid_argument, "server queue: option out of range");
    }
    return std::unique_ptr<server_queue>(new server_queue(options, random));
}

server_queue::server_queue(server_queue_options options, std::mt19937_64& random)
    : options_(options), random_(random), slots_(options.slots),
      service_times_(options.service_times), limit_(options.limit),
      short_line_(options.fairness), long_line_(options.fairness)
{
}

void server_queue::arrive(const queued_request& request,
                          time_point now,
                          queue_actions& out)
{
    if (!short_load_)
    {
        // Short work is expected until its absence has been observed.
        short_load_ = decayed_rate(1, now);
    }
    refuse_late(now, out);
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
    time_point latest_start = request.deadline - room_needed(request, estimate);
    if (latest_start < now && idle_slot_takes(request, estimate, now))
    {
        latest_start = now;
    }
    const duration to_spare = scaled(latest_start - now, options_.admission_share);
    const fair_position at = line(estimate.is_long).next_position(request.caller, now);
    if (latest_start < now ||
        expected_wait(estimate.is_long, at, to_spare, now) > to_spare)
    {
        refuse(request.id, refusal_reason::deadline, out);
        return;
    }
    enqueue(request, estimate, latest_start, now);
    start_allowed(now, out);
}

void server_queue::finished(ticket id,
                            const service_report& report,
                            time_point now,
                            queue_actions& out)
{
    const auto it = running_.find(id);
    if (it == running_.end())
    {
        return;
    }
    learn(it->second, report, now);
    running_.erase(it);
    tick(now, out);
}

void server_queue::cancelled(ticket id, time_point now, queue_actions& out)
{
    if (waiting_.contains(id))
    {
        take_waiting(id);
    }
    running_.erase(id);
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
    refuse_late(now, out);
    start_allowed(now, out);
}

std::optional<time_point> server_queue::next_tick() const
{
    if (by_latest_start_.empty())
    {
        return std::nullopt;
    }
    return by_latest_start_.begin()->first + duration(1);
}

std::size_t server_queue::limit() const
{
    return limit_.allowed(slots_);
}

std::size_t server_queue::long_slots(time_point now) const
{
    const std::size_t allowed = limit();
    const std::size_t share = std::max<std::size_t>(1, allowed / slots_per_long);
    const bool is_quiet =
        short_load_ && short_line_.empty() &&
        short_load_->at(now, options_.short_load_half_life) < options_.quiet_short_load;
    return is_quiet && share + 1 < allowed ? share + 1 : share;
}

std::size_t server_queue::long_in_flight(time_point now) const
{
    const duration threshold = service_times_.long_threshold();
    return static_cast<std::size_t>(std::count_if(
        running_.begin(),
        running_.end(),
        [&](const auto& row)
        { return row.second.is_long || now - row.second.since > threshold; }));
}

fair_queue& server_queue::line(bool is_long)
{
    return is_long ? long_line_ : short_line_;
}

// The slots that requests of this kind may count on.
double server_queue::usable_slots(bool is_long, time_point now) const
{
    if (is_long)
    {
        return static_cast<double>(long_slots(now));
    }
    const auto allowed = static_cast<double>(limit());
    const auto taken = static_cast<double>(long_in_flight(now));
    const double least = long_line_.empty() ? 0 : options_.least_long_share * allowed;
    return std::max(allowed - std::max(taken, least), least_usable);
}

duration server_queue::expected_wait(bool is_long,
                                     const fair_position& at,
                                     duration enough,
                                     time_point now) const
{
    const fair_queue& ahead = is_long ? long_line_ : short_line_;
    const double n = usable_slots(is_long, now);
    return scaled(ahead.work_before(at, scaled(enough, n)), 1 / n);
}

duration server_queue::room_needed(const queued_request& request,
                                   const service_time_estimate& estimate) const
{
    return request.repeatable ? estimate.bound
                              : scaled(estimate.bound, options_.unrepeatable_room);
}

// Whether a request starts although its bound lies beyond its deadline: a slot that idles
// takes it if its mean does not, and now and then as a probe.
bool server_queue::idle_slot_takes(const queued_request& request,
                                   const service_time_estimate& estimate,
                                   time_point now)
{
    // Whatever waits although a slot is free may not start.
    const bool slot_idles = running_.size() < limit();
    const bool may_start = !estimate.is_long || long_in_flight(now) < long_slots(now);
    const bool may_end_late = request.repeatable && now < request.deadline;
    if (!slot_idles || !may_start || !may_end_late)
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

void server_queue::learn(const running_request& ended,
                         const service_report& report,
                         time_point now)
{
    if (report.answer == answer_kind::shed)
    {
        limit_.observe_shed(running_.size() - 1, now);
        return;
    }
    const duration bound = service_times_.estimate(ended.caller, ended.route).bound;
    const double bounds = static_cast<double>(report.service_time.count()) /
                          static_cast<double>(std::max(bound, duration(1)).count());
    const bool is_slow = bounds > options_.slow_bounds;
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
        // One straggler, or a wait within the server, does not stand for all requests.
        const bool is_known = bound != options_.service_times.unknown;
        const duration learned = is_slow && is_known ? scaled(bound, options_.slow_bounds)
                                                     : report.service_time;
        service_times_.observe(ended.caller, ended.route, learned);
    }
}

void server_queue::enqueue(const queued_request& request,
                           const service_time_estimate& estimate,
                           time_point latest_start,
                           time_point now)
{
    const fair_position at = line(estimate.is_long)
                                 .push(request.id,
                                       request.caller,
                                       estimate.mean,
                                       usable_slots(estimate.is_long, now),
                                       now);
    waiting_.emplace(request.id,
                     waiting_request{request, at, now, latest_start, estimate.is_long});
    by_latest_start_.emplace(latest_start, request.id);
}

void server_queue::refuse_late(time_point now, queue_actions& out)
{
    while (!by_latest_start_.empty() && by_latest_start_.begin()->first < now)
    {
        const ticket id = by_latest_start_.begin()->second;
        const waiting_request late = take_waiting(id);
        refuse(late.request.id, refusal_reason::deadline, out);
    }
}

void server_queue::refuse_all(queue_actions& out)
{
    while (!by_latest_start_.empty())
    {
        const ticket id = by_latest_start_.begin()->second;
        take_waiting(id);
        refuse(id, refusal_reason::no_slots, out);
    }
}

void server_queue::start_allowed(time_point now, queue_actions& out)
{
    while (running_.size() < limit())
    {
        fair_queue* from = choose(now);
        if (from == nullptr)
        {
            return;
        }
        start_front(*from, now, out);
    }
}

// While short work waits, a long request lets it go first until it is due; then it takes
// its slot, since short ones have slots that it never takes.
fair_queue* server_queue::choose(time_point now)
{
    const bool long_may_start =
        !long_line_.empty() && long_in_flight(now) < long_slots(now);
    if (short_line_.empty())
    {
        return long_may_start ? &long_line_ : nullptr;
    }
    if (!long_may_start)
    {
        return &short_line_;
    }
    return now >= next_long_turn_ && long_is_due(now) ? &long_line_ : &short_line_;
}

// Whether the first long request has waited for its part, counting the time that those
// behind it need.
bool server_queue::long_is_due(time_point now) const
{
    const waiting_request& first = waiting_.find(long_line_.front().id)->second;
    const duration to_spare = first.latest_start - first.arrival;
    const duration backlog =
        long_line_.work() / static_cast<duration::rep>(long_slots(now));
    return now + backlog >= first.arrival + scaled(to_spare, options_.long_deferral);
}

// The time in which one long request of that cost is the least share of the slot time.
duration server_queue::long_turn(duration cost) const
{
    const double part = options_.least_long_share * static_cast<double>(limit());
    const double longest = static_cast<double>(longest_long_turn.count());
    const double turn = static_cast<double>(cost.count()) / std::max(part, 1e-9);
    return duration(static_cast<duration::rep>(std::min(turn, longest)));
}

void server_queue::start_front(fair_queue& from, time_point now, queue_actions& out)
{
    const fair_position at = from.front();
    const auto it = waiting_.find(at.id);
    const waiting_request& chosen = it->second;
    running_.emplace(
        at.id,
        running_request{
            chosen.request.caller, chosen.request.route, now, chosen.is_long});
    if (chosen.is_long)
    {
        next_long_turn_ = now + long_turn(at.cost);
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

// The time in which the work that waits now will have been done, jittered.
duration server_queue::retry_after()
{
    const auto n = static_cast<duration::rep>(std::max<std::size_t>(1, limit()));
    const duration backlog = (short_line_.work() + long_line_.work()) / n;
    std::uniform_real_distribution<double> jitter(min_jitter, max_jitter);
    return scaled(std::max(backlog, options_.min_retry_after), jitter(random_));
}

server_queue::waiting_request server_queue::take_waiting(ticket id)
{
    const auto it = waiting_.find(id);
    waiting_request taken = std::move(it->second);
    waiting_.erase(it);
    by_latest_start_.erase({taken.latest_start, id});
    line(taken.is_long).erase(taken.at, taken.request.caller);
    return taken;
}

} // namespace camphorrock
