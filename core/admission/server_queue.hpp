#pragma once

// The queue of one server with a few slots: short requests keep their bound on waiting
// while long ones are in flight, callers share fairly, and nothing waits that could not
// finish before its deadline. See docs/POLICY.md for what was weighed and measured.
//
//     server_queue_options options;
//     options.slots = 3;
//     auto queue = server_queue::create(options, random); // result<unique_ptr<...>>
//
// Rules, checked by the tests:
//   - never more in flight than the slots, nor than the adaptive limit allows;
//   - no more long requests in flight than long_slots(); a request that has run for
//     long counts as long whatever its class;
//   - no slot idles while a request waits that may take it;
//   - a waiting request is refused once its deadline is nearer than its expected time;
//   - at most `max_waiting` requests wait.
//
// arrive and finished cost O(log n) plus the requests ahead, at most what fits before the
// deadline. Memory: about 300 bytes a waiting request, plus the service time table.

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
    std::size_t max_waiting = 1024; // memory budget
    service_time_table_options service_times;
    adaptive_limit_options limit;
    fair_queue_options fairness;

    // The share of the time to spare that the expected wait may take at arrival.
    double admission_share = 0.75;
    // Room before the deadline that an unrepeatable request needs, in service bounds.
    double unrepeatable_room = 2.0;
    // The share of its time to spare for which a long request lets short ones go first.
    double long_deferral = 0.75;
    // The share of the slot time that long work gets while short work waits, if it has
    // that much to do: a long request that is due goes before waiting short ones only
    // when the last start of a long one lies so far back. Without short work that waits
    // long work may use long_slots() all the time.
    double least_long_share = 0.05;
    // Below this load of short work, in slots, one more slot is open to long work.
    double quiet_short_load = 0.01;
    duration short_load_half_life = seconds(5);
    // An answer or timeout speaks against the server after so many service bounds; an
    // earlier timeout only says that the request was started late. Longer service times
    // are learned as that many bounds, so a slower server is learned step by step.
    double slow_bounds = 1.5;
    // A request that is expected to end too late starts nevertheless, at most once in
    // this time and only on a slot that idles, so that an outdated estimate can be
    // corrected.
    duration probe_interval = seconds(1);
    duration min_retry_after = milliseconds(50);
};

class server_queue final : public queue_policy
{
public:
    // Fails with invalid_argument if an option is out of range. `random` must outlive the
    // queue; it jitters the times to come back.
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
        return running_.size();
    }

    // Requests that may be in flight now.
    std::size_t limit() const;

    // Long requests that may be in flight now: a third of the limit, and one more while
    // hardly any short work comes.
    std::size_t long_slots(time_point now) const;

    // Long requests in flight, by class or by how long they have run.
    std::size_t long_in_flight(time_point now) const;

    const service_time_table& service_times() const
    {
        return service_times_;
    }

private:
    struct waiting_request
    {
        queued_request request;
        fair_position at;
        time_point arrival;
        time_point latest_start;
        bool is_long = false;
    };

    struct running_request
    {
        caller_name caller;
        route_class route;
        time_point since;
        bool is_long = false;
    };

    server_queue(server_queue_options options, std::mt19937_64& random);

    fair_queue& line(bool is_long);
    double usable_slots(bool is_long, time_point now) const;
    duration expected_wait(bool is_long,
                           const fair_position& at,
                           duration enough,
                           time_point now) const;
    duration room_needed(const queued_request& request,
                         const service_time_estimate& estimate) const;
    bool idle_slot_takes(const queued_request& request,
                         const service_time_estimate& estimate,
                         time_point now);
    void
    learn(const running_request& ended, const service_report& report, time_point now);
    void enqueue(const queued_request& request,
                 const service_time_estimate& estimate,
                 time_point latest_start,
                 time_point now);
    void refuse_late(time_point now, queue_actions& out);
    void refuse_all(queue_actions& out);
    void start_allowed(time_point now, queue_actions& out);
    fair_queue* choose(time_point now);
    bool long_is_due(time_point now) const;
    duration long_turn(duration cost) const;
    void start_front(fair_queue& from, time_point now, queue_actions& out);
    void refuse(ticket id, refusal_reason reason, queue_actions& out);
    duration retry_after();
    waiting_request take_waiting(ticket id);

    server_queue_options options_;
    std::mt19937_64& random_;
    std::size_t slots_;
    service_time_table service_times_;
    adaptive_limit limit_;
    time_point next_probe_{};
    time_point next_long_turn_{}; // before it no long request passes waiting short ones
    std::optional<decayed_rate> short_load_; // in slots; none before the first event
    fair_queue short_line_;
    fair_queue long_line_;
    std::unordered_map<ticket, waiting_request> waiting_;
    std::set<std::pair<time_point, ticket>> by_latest_start_;
    std::unordered_map<ticket, running_request> running_;
};

} // namespace camphorrock
