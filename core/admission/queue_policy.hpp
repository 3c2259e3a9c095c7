#pragma once

// The interface of policies that decide which requests to one server start, wait or are
// refused. The owner of a queue is the router that schedules the server. It reports each
// event with its time, and carries out the actions that are appended to `out`, in order.
//
//     queue->arrive(request, now, out);      // may start or refuse this request
//     queue->finished(id, report, now, out); // may start requests that were waiting
//
// For each ticket that arrives, exactly one of these follows: a start, a refusal, or a
// call of cancelled() by the owner while the request waits. The times of successive calls
// must not decrease. The owner calls tick() at next_tick() if no event comes before.

#include "core/admission/queue_action.hpp"
#include "core/admission/queued_request.hpp"
#include "core/admission/service_report.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <optional>

namespace camphorrock
{

class queue_policy
{
public:
    virtual ~queue_policy() = default;

    // A request arrived. Its ticket must be new.
    virtual void
    arrive(const queued_request& request, time_point now, queue_actions& out) = 0;

    // A started request left its slot, with or without an answer. Ignores an unknown
    // ticket.
    virtual void finished(ticket id,
                          const service_report& report,
                          time_point now,
                          queue_actions& out) = 0;

    // The caller disconnected. Removes the request if it waits. If it was started, its
    // slot counts as free from now on, so the owner must close the exchange with the
    // server. Ignores an unknown ticket.
    virtual void cancelled(ticket id, time_point now, queue_actions& out) = 0;

    // The server now works on at most `slots` requests at once. With 0, all requests that
    // wait or arrive are refused.
    virtual void slots_changed(std::size_t slots, time_point now, queue_actions& out) = 0;

    // Time passed without another event.
    virtual void tick(time_point now, queue_actions& out) = 0;

    // The latest time for the next tick(); nullopt if no decision depends on time.
    virtual std::optional<time_point> next_tick() const = 0;

    // Requests that wait.
    virtual std::size_t waiting() const = 0;

    // Requests that were started and have not left their slots.
    virtual std::size_t in_flight() const = 0;
};

} // namespace camphorrock
