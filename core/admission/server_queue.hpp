#pragma once

// The queue of one server with a few slots. Bounds the wait of short requests while long
// ones are in flight, shares the slots fairly among callers, and refuses at once a
// request that could not finish before its deadline. docs/POLICY.md has the alternatives
// and the measurements behind the policy.
//
//     server_queue_options options;
//     options.slots = 3;
//     auto queue = server_queue::create(options, random); // result<unique_ptr<...>>
//
// Invariants, checked by the tests:
//   - no request starts while as many are in flight as the slots or the adaptive limit
//     allow;
//   - no long request starts while long_slots() long ones are in flight; a request that
//     has run for longer than long_threshold() counts as long whatever its class;
//   - no slot is idle while a request waits that may use it;
//   - a waiting request is refused once the time to its deadline is shorter than the time
//     that it is expected to need;
//   - at most `max_waiting` requests wait.
//
// Terms: the latest start of a request is the latest time at which it is still expected
// to meet its deadline. Its slack is the time from its arrival to its latest start.
//
// arrive and finished are O(log n) plus the requests ahead, at most as many as fit before
// the deadline. Memory: about 300 bytes for each waiting request, plus the service time
// table.

#include "core/admission/adaptive_limit.hpp"
#include "core/admission/fair_queue.hpp"
#include "core/admission/queue_policy.hpp"
#include "core/admission/service_time_table.hpp"
#include "core/balance/decayed_rate.hpp"
#include "core/base/result.hpp"

#include <cstddef>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace camphorrock
{

struct server_queue_options
{
    std::size_t slots = 3;
    std::size_t max_waiting = 1024; // requests; bounds the memory
    service_time_table_options service_times;
    adaptive_limit_options in_flight_limit;
    fair_queue_options fairness;

    // The longest expected wait with which a request is admitted, as a fraction of its
    // slack.
    double max_wait_fraction = 0.75;
    // The time that must remain until the deadline when an unrepeatable request starts,
    // in service time bounds. A repeatable request needs one bound.
    double unrepeatable_margin = 2.0;
    // The fraction of its slack for which a long request yields to short ones.
    double long_deferral_fraction = 0.75;
    // The fraction of the slot time that long requests get while short ones wait, if
    // enough long ones wait to use it. A long request that has yielded for long enough
    // overtakes waiting short ones only if the last start of a long request was long
    // enough ago for this fraction. While no short request waits, long ones may use
    // long_slots() all the time.
    double min_long_fraction = 0.05;
    // While the load of short requests, in slots, is below this, long requests may use
    // one more slot.
    double low_short_load = 0.01;
    duration short_load_half_life = seconds(5);
    // A service time of more than this many service time bounds is slow. A slow answer or
    // timeout counts as a failure of the server; any other timeout does not, since it
    // only shows that the request started late. The service time table learns a slow
    // service time as this many bounds, so that it follows a slower server in steps.
    double slow_bound_factor = 1.5;
    // A request that is expected to finish too late is started all the same, on an idle
    // slot only and at most once in this interval, so that an outdated estimate can be
    // corrected.
    duration probe_interval = seconds(1);
    duration min_retry_after = milliseconds(50); // before jitter
};

class server_queue final : public queue_policy
{
public:
    // Fails with invalid_argument if an option is out of range. `random` supplies the
    // jitter of retry_after and must outlive the queue.
    static result<std::unique_ptr<server_queue>> create(server_queue_options options,
                                                        std::mt19937_64& random);

    void
    arrive(const queued_request& request, time_point now, queue_actions& out) override;
    void finished(ticket id,
                  const service_report& report,
                  time_point now,
                  queue_actions& out) override;
    void cancelled(ticket id, time_point now, queue_actions& out) override;
    void slots_changed(std::size_t slots, time_point now, queue_actions& out) override;
    void tick(time_point now, queue_actions& out) override;
    std::optional<time_point> next_tick() const override;

    std::size_t waiting() const override
    {
        return waiting_.size();
    }

    std::size_t in_flight() const override
    {
        return in_flight_.size();
    }

    // The number of requests that may be in flight now: the adaptive limit, at most the
    // slots.
    std::size_t in_flight_limit() const;

    // The number of long requests that may be in flight now: a third of
    // in_flight_limit(), at least 1, and one more while the load of short requests is
    // low.
    std::size_t long_slots(time_point now) const;

    // The number of requests in flight that count as long, by their class or because they
    // have run for longer than long_threshold().
    std::size_t long_in_flight(time_point now) const;

    const service_time_table& service_times() const
    {
        return service_times_;
    }

private:
    struct waiting_request
    {
        queued_request request;
        fair_position position;
        time_point arrival;
        time_point latest_start;
        bool is_long = false;
    };

    struct in_flight_request
    {
        caller_name caller;
        route_class route;
        time_point started_at;
        bool is_long = false;
    };

    server_queue(server_queue_options options, std::mt19937_64& random);

    fair_queue& queue_for(bool is_long);
    double usable_slots(bool is_long, time_point now) const;
    duration expected_wait(bool is_long,
                           const fair_position& at,
                           duration stop_above,
                           time_point now) const;
    duration time_needed(const queued_request& request,
                         const service_time_estimate& estimate) const;
    bool try_idle_slot(const queued_request& request,
                       const service_time_estimate& estimate,
                       time_point now);
    void observe_finished(const in_flight_request& ended,
                          const service_report& report,
                          time_point now);
    void enqueue(const queued_request& request,
                 const service_time_estimate& estimate,
                 time_point latest_start,
                 time_point now);
    void refuse_expired(time_point now, queue_actions& out);
    void refuse_all(queue_actions& out);
    void start_waiting(time_point now, queue_actions& out);
    fair_queue* choose_queue(time_point now);
    bool is_long_due(time_point now) const;
    duration overtake_interval(duration cost) const;
    void start_front(fair_queue& from, time_point now, queue_actions& out);
    void refuse(ticket id, refusal_reason reason, queue_actions& out);
    duration retry_after();
    waiting_request remove_waiting(ticket id);

    server_queue_options options_;
    std::mt19937_64& random_;
    std::size_t slots_;
    service_time_table service_times_;
    adaptive_limit limit_;
    time_point next_probe_{};
    time_point next_overtake_{}; // no long request overtakes waiting short ones before
    std::optional<decayed_rate> short_load_; // in slots; nullopt before the first arrival
    fair_queue short_queue_;
    fair_queue long_queue_;
    std::unordered_map<ticket, waiting_request> waiting_;
    std::set<std::pair<time_point, ticket>> by_latest_start_; // of waiting_
    std::unordered_map<ticket, in_flight_request> in_flight_;
};

} // namespace camphorrock
