#pragma once

// The faults that the fake platform is told to show, and the draws that go with them.
//
// A loss is told as one number: below 1 it is the share of calls that are hit, drawn at
// random; from 1 on, the next so many calls are hit and then none.

#include "core/base/result.hpp"
#include "core/base/time.hpp"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <random>

namespace camphorrock::fakes
{

class loss
{
public:
    void set(double number);

    // True if the next call is hit.
    bool draw(std::mt19937_64& random);

    // As set, with what is left of a count.
    double number() const;

private:
    double share_ = 0;
    std::uint64_t next_ = 0;
};

struct fault_plan
{
    bool outage = false;                // every call is cut off without effect
    duration delay{};                   // half before the effect, half after it
    loss lost_requests;                 // changes cut off without effect
    loss lost_replies;                  // changes that take effect and are cut off
    std::optional<duration> list_lag{}; // of the instance list
};

// Takes the members "outage", "delay_ms", "lose_requests", "lose_replies" and
// "list_lag_ms" over; absent ones stay as they are. Fails with
// error_code::invalid_argument, without effect, for other members and wrong values.
result<void> change_faults(fault_plan& plan, const Json::Value& body);

Json::Value to_json(const fault_plan& plan);

} // namespace camphorrock::fakes
