#pragma once

// Counts the calls that reach the fake platform, by kind and by outcome.

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
    // Counts a call on its arrival, whether or not it is then cut off or refused.
    void count(call_kind kind, time_point now);

    // Calls that ended without the store's answer, by cause.
    std::uint64_t refused = 0;       // over the rate limit
    std::uint64_t cut_off = 0;       // by an outage
    std::uint64_t lost_requests = 0; // changes cut off before they took effect
    std::uint64_t lost_replies = 0;  // changes cut off after they took effect

    // {"calls": {KIND: N}, "reads": {...}, "writes": {...}, "refused": N, ...}
    Json::Value to_json(time_point now);

private:
    std::array<call_counter, call_kind_count> kinds_;
    call_counter reads_;
    call_counter writes_;
};

} // namespace camphorrock::fakes
