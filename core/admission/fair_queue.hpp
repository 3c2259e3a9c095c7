#pragma once

// Waiting requests of one kind, in the order of arrival among callers that keep to their
// share, the others behind them. Each caller has a clock that every request of its own
// moves on by the time that the request takes from the callers that wait. A request is
// placed at its arrival, or at its caller's clock less the allowed burst where that is
// later. The lowest place goes first.
//
// First in first out keeps the spread of the waits small; a strict turn among callers
// does not. A clock runs ahead by at most `max_debt`, so use of an idle server is not
// held against a caller for long.
//
// push, erase and front are O(log n). Memory: one node a request, and one row for each
// caller whose clock is ahead of the time.

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
    duration burst = milliseconds(100); // a caller's lead that does not set it back
    duration max_debt = seconds(1);     // furthest lead of a caller's clock
};

// The place of a waiting request. Ties go by arrival.
struct fair_position
{
    time_point place;
    std::uint64_t sequence = 0;
    ticket id;
    duration cost{};   // of a slot
    duration charge{}; // to its caller's clock

    friend bool operator<(const fair_position& a, const fair_position& b)
    {
        return a.place != b.place ? a.place < b.place : a.sequence < b.sequence;
    }
};

class fair_queue
{
public:
    explicit fair_queue(fair_queue_options options);

    // Where a request would stand if it came now.
    fair_position next_position(const caller_name& caller, time_point now) const;

    // Adds a request that takes `cost` of one of `slots`, which may be a part of one.
    fair_position push(ticket id,
                       const caller_name& caller,
                       duration cost,
                       double slots,
                       time_point now);

    // Takes out a request that starts.
    void start(const fair_position& at, const caller_name& caller);

    // Takes out a request that does not start: its caller is not charged for it.
    void erase(const fair_position& at, const caller_name& caller);

    // Cost of all that would start before `at`, counted up to `enough`. O(requests
    // counted).
    duration work_before(const fair_position& at, duration enough) const;

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

    duration work() const
    {
        return work_;
    }

private:
    struct caller_row
    {
        time_point clock;
        std::size_t waiting = 0;
    };

    void remove(const fair_position& at, caller_row& of);
    void forget_idle_callers(time_point now);

    fair_queue_options options_;
    std::set<fair_position> order_;
    std::unordered_map<caller_name, caller_row> callers_;
    std::size_t waiting_callers_ = 0;
    std::uint64_t sequence_ = 0;
    std::size_t sweep_at_; // rows at which idle callers are next looked for
    duration work_{};
};

} // namespace camphorrock
