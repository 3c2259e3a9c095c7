#pragma once

// A queue of waiting requests of one kind (short or long). Requests of callers that stay
// within their fair share are served in order of arrival; requests of the other callers
// are served after them.
//
// Each caller has a virtual clock. A request advances its caller's clock by the time that
// it takes from the waiting callers: its cost times their number, divided by the slots.
// The start tag of a request is its time of arrival, or its caller's clock minus `burst`
// if that is later. The request with the lowest start tag is served first.
//
// Order of arrival keeps the variance of the waiting times low; a strict round robin
// among callers does not. A clock runs ahead of the time by at most `max_lead`, so that a
// caller's use of an idle server does not count against it for long.
//
// push, start, cancel and front are O(log n). Memory: one node for each request, and one
// entry for each caller that has waiting requests or whose clock is ahead of the time.

#include "core/admission/ticket.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>

namespace camphorrock
{

struct fair_queue_options
{
    duration burst = milliseconds(100); // lead of a clock that does not delay requests
    duration max_lead = seconds(1);     // of a caller's clock over the time
};

// The position of a waiting request. Requests with equal start tags keep their order of
// arrival.
struct fair_position
{
    time_point start_tag;
    std::uint64_t sequence = 0; // order of arrival
    ticket id;
    duration cost{};   // expected time in a slot
    duration charge{}; // advance of the caller's clock

    friend bool operator<(const fair_position& a, const fair_position& b)
    {
        return a.start_tag != b.start_tag ? a.start_tag < b.start_tag
                                          : a.sequence < b.sequence;
    }
};

class fair_queue
{
public:
    explicit fair_queue(fair_queue_options options);

    // The position that a request would get if it were pushed now.
    fair_position next_position(const caller_name& caller, time_point now) const;

    // Adds a request that is expected to occupy a slot for `cost`, and charges its
    // caller. `slots` is the number of slots that serve this queue; it may have a
    // fraction.
    fair_position push(ticket id,
                       const caller_name& caller,
                       duration cost,
                       double slots,
                       time_point now);

    // Removes a request that starts.
    void start(const fair_position& at, const caller_name& caller);

    // Removes a request that does not start, and takes back the charge to its caller.
    void cancel(const fair_position& at, const caller_name& caller);

    // The total cost of the requests ahead of `at`. Stops counting once the total exceeds
    // `stop_above`. O(requests counted).
    duration work_before(const fair_position& at, duration stop_above) const;

    // The queue must not be empty.
    const fair_position& front() const
    {
        return *order_.begin();
    }

    bool empty() const
    {
        return order_.empty();
    }

    std::size_t size() const
    {
        return order_.size();
    }

    // The total cost of all waiting requests.
    duration work() const
    {
        return work_;
    }

private:
    struct caller_entry
    {
        time_point virtual_clock;
        std::size_t waiting = 0; // requests
    };

    void remove(const fair_position& at, caller_entry& caller);
    void erase_idle_callers(time_point now);

    fair_queue_options options_;
    std::set<fair_position> order_;
    std::unordered_map<caller_name, caller_entry> callers_;
    std::size_t waiting_callers_ = 0;
    std::uint64_t next_sequence_ = 0;
    std::size_t next_sweep_size_; // entries in callers_ at which idle ones are erased
    duration work_{};
};

} // namespace camphorrock
