#pragma once

// A simulated server with slots, its own backlog, and faults by script. It has no clock:
// the trial passes the time to each call and calls remove() when a request ends.

#include "bench/queue/queue_scenario.hpp"
#include "core/admission/ticket.hpp"
#include "core/base/time.hpp"

#include <deque>
#include <unordered_set>
#include <vector>

namespace camphorrock
{

// A request that got a slot, and the time at which it ends unless it is cancelled.
struct begun_work
{
    ticket id;
    time_point began_at;
    time_point ends_at;
};

class scripted_server
{
public:
    explicit scripted_server(const queue_scenario& scenario);

    // Accepts a request; false if it is shed. Appends the requests that begin to `begun`.
    bool offer(ticket id,
               duration service_time,
               time_point now,
               std::vector<begun_work>& begun);

    // Removes a request that ended or was cancelled. Its slot is free for the backlog.
    void remove(ticket id, time_point now, std::vector<begun_work>& begun);

    // Begins the requests of the backlog that the phase in force allows. Must be called
    // when the phase changes.
    void advance(time_point now, std::vector<begun_work>& begun);

private:
    struct pending_work
    {
        ticket id;
        duration service_time{};
    };

    const server_phase& current_phase(time_point now) const;

    const queue_scenario& scenario_;
    std::deque<pending_work> backlog_;
    std::unordered_set<ticket> running_;
};

} // namespace camphorrock
