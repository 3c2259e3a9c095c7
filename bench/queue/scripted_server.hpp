#pragma once

// A server as a queue meets it: some slots, a backlog of its own, and faults by script.
// Holds no clock: the trial asks when the next piece of work ends.

#include "bench/queue/queue_scenario.hpp"
#include "core/admission/ticket.hpp"
#include "core/base/time.hpp"

#include <deque>
#include <unordered_set>
#include <vector>

namespace camphorrock
{

// Work that has got a slot and ends at `end` unless it is cancelled.
struct begun_work
{
    ticket id;
    time_point begin;
    time_point end;
};

class scripted_server
{
public:
    explicit scripted_server(const queue_scenario& scenario);

    // Takes a request; false where it is shed. What begins is appended to `begun`.
    bool
    offer(ticket id, duration service, time_point now, std::vector<begun_work>& begun);

    // The work ended or was cancelled; its slot goes to the backlog.
    void leave(ticket id, time_point now, std::vector<begun_work>& begun);

    // Begins what a change of phase allows.
    void advance(time_point now, std::vector<begun_work>& begun);

private:
    struct pending_work
    {
        ticket id;
        duration service{};
    };

    const server_phase& phase(time_point now) const;

    const queue_scenario& scenario_;
    std::deque<pending_work> backlog_;
    std::unordered_set<ticket> running_;
};

} // namespace camphorrock
