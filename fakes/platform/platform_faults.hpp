#pragma once

// The faults that the fake platform injects, and the random draws that decide which calls
// they affect.

#include "core/base/result.hpp"
#include "core/base/time.hpp"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <random>

namespace camphorrock::fakes
{

// Selects the calls to lose. The setting is one number: below 1 it is the probability
// that a call is lost; from 1 on it is rounded, and that many of the next calls are lost
// and none after them.
class call_loss
{
public:
    void set(double setting);

    // Decides whether the next call is lost. A number of calls that is set goes down by
    // one with each lost call.
    bool draw(std::mt19937_64& random);

    // Returns the setting. If it is a number of calls, returns how many are still to be
    // lost.
    double setting() const;

private:
    double probability_ = 0;
    std::uint64_t remaining_count_ = 0;
};

struct platform_faults
{
    bool is_in_outage = false; // cuts off every call before it takes effect
    duration delay{};          // of each call: half before its effect, half after it
    call_loss request_loss;    // cuts off changes before they take effect
    call_loss reply_loss;      // cuts off changes after they take effect
    std::optional<duration> list_lag{}; // of the instance list; empty: not set
};

// Sets the faults from the members "outage", "delay_ms", "lose_requests", "lose_replies"
// and "list_lag_ms" of a JSON object; absent members leave theirs unchanged. Fails with
// error_code::invalid_argument, without effect, if there is another member or a value is
// of the wrong type or negative.
result<void> change_faults(platform_faults& faults, const Json::Value& body);

Json::Value to_json(const platform_faults& faults);

} // namespace camphorrock::fakes
