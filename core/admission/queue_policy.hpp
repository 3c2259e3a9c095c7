#pragma once

// Decides which requests of one server start, wait or are refused. The owner is the
// router that schedules the server: it reports every event with the time, and carries out
// the actions that are appended to `out`, in their order.
//
//     queue->arrive(request, now, out);      // out: start_request or refuse_request ...
//     queue->finished(id, report, now, out); // ... or a start of one that had waited
//
// Each ticket that arrives gets exactly one of: a start, a refusal, the owner's own
// cancelled() while it waits. Times must not go backwards. Between events the owner calls
// tick() at next_tick().

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

    // A request came. Its ticket must be new.
    virtual void
    arrive(const queued_request& request, time_point now, queue_actions& out) = 0;

    // A started request has left its slot, with or without an answer. Unknown tickets
    // have no effect.
    virtual void finished(ticket id,
                          const service_report& report,
                          time_point now,
                          queue_actions& out) = 0;

    // The caller is gone. A waiting request is forgotten; a started one is taken to have
    // left its slot, so the owner closes its exchange. Unknown tickets have no effect.
    virtual void cancelled(ticket id, time_point now, queue_actions& out) = 0;

    // The server works on so many requests at once; 0 refuses all that wait and come.
    virtual void slots_changed(std::size_t slots, time_point now, queue_actions& out) = 0;

    // Time passed.
    virtual void tick(time_point now, queue_actions& out) = 0;

    // When tick() is wanted at the latest; none while nothing depends on time.
    virtual std::optional<time_point> next_tick() const = 0;

    virtual std::size_t waiting() const = 0;
    virtual std::size_t in_flight() const = 0;
};

} // namespace camphorrock
