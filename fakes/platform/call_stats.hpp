#pragma once

// What the fake platform counts about the calls that reach it.

#include "core/base/time.hpp"
#include "fakes/platform/call_counter.hpp"
#include "fakes/platform/call_kind.hpp"

#include <json/value.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorrock::fakes
{

class call_stats
{
public:
    // Every call that arrives, also one that is then cut off or refused.
    void count(call_kind kind, time_point now);

    // Calls that ended otherwise than by the store's answer.
    std::uint64_t refused = 0;       // over the rate
    std::uint64_t cut_off = 0;       // in an outage
    std::uint64_t lost_requests = 0; // without effect
    std::uint64_t lost_replies = 0;  // after their effect

    // {"calls": {KIND: N}, "reads": {...}, "writes": {...}, "refused": N, ...}
    Json::Value to_json(time_point now);

private:
    std::array<call_counter, call_kinds> kinds_;
    call_counter reads_;
    call_counter writes_;
};

} // namespace camphorrock::fakes
