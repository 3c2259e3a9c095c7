#pragma once

// Waiting requests of one kind in start-time fair order: each request gets a tag that is
// its caller's previous tag plus its cost, and the lowest tag goes first. A caller that
// sends much gets later tags, one that sends little goes ahead of it.
//
// push, erase and front are O(log n). Memory: one node a request, and one row for each
// caller with requests ahead of the virtual time.

#include "core/admission/ticket.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>

namespace camphorrock
{

// The place of a waiting request. Ties go by arrival.
struct fair_position
{
    std::int64_t tag_us = 0;
    std::uint64_t sequence = 0;
    ticket id;
    duration cost{};

    friend bool operator<(const fair_position& a, const fair_position& b)
    {
        return a.tag_us != b.tag_us ? a.tag_us < b.tag_us : a.sequence < b.sequence;
    }
};

class fair_queue
{
public:
    // Where a request of this cost would stand if it came now.
    fair_position next_position(const caller_name& caller, duration cost) const;

    fair_position push(ticket id, const caller_name& caller, duration cost);

    // Takes out a request that starts: the virtual time moves up to its tag.
    void start(const fair_position& at);

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
    void forget_idle_callers();

    std::set<fair_position> order_;
    std::unordered_map<caller_name, std::int64_t> next_tag_us_;
    std::int64_t virtual_time_us_ = 0;
    std::uint64_t sequence_ = 0;
    std::size_t sweep_at_ = 64; // rows at which idle callers are next looked for
    duration work_{};
};

} // namespace camphorrock
