#pragma once

// Bounds what each server of a service is sent after one of them has crashed while it
// held many requests, or large ones, so that the same load does not crash the others. One
// object for each service of a gateway.
//
//     load.note_answer(sum, now);  // a request was answered that was sent with this sum
//     load.note_crash(sum, slots, now);  // a server crashed while it held this sum
//     if (!load.allows(sum, slots, now)) ... // not to be sent now
//
// A sum is what a server holds when a request is sent to it, that request included. A sum
// is borne if a server of the service answered a request that was sent with it. While the
// bound is in force, no server is to hold more than the largest borne sum multiplied by
// `growth`. The factor is multiplied by `growth` again in each `growth_time`, and answers
// raise the largest borne sum. The bound ends after `in_force`.
//
// Invariants:
//   - without a crash, everything is allowed;
//   - a crash bounds nothing if the server held no more requests than it has slots, and
//     no more bytes than the largest borne sum or `small_bytes`;
//   - a server may always get as many requests as it has slots, and `small_bytes`.
//
// Memory: `period_count` sums. Each call costs O(period_count).

#include "core/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace camphorrock
{

struct held_load
{
    unsigned requests = 0; // of all gateways
    std::size_t bytes = 0; // of the bodies of this gateway's requests

    bool operator==(const held_load&) const = default;
};

struct borne_load_options
{
    double growth = 1.25;
    duration growth_time = seconds(1);
    duration in_force = seconds(10);
    std::size_t small_bytes = std::size_t{256} * 1024;
};

class borne_load
{
public:
    explicit borne_load(borne_load_options options = {}) : options_(options) {}

    void note_answer(const held_load& sent_with, time_point now);

    // Returns true if a bound is in force because of it.
    bool note_crash(const held_load& held, unsigned slots, time_point now);

    bool allows(const held_load& with_request, unsigned slots, time_point now) const;

    // The largest numbers of requests and of bytes that were borne within the last
    // `period_count` periods.
    held_load borne(time_point now) const;

private:
    static constexpr std::size_t period_count = 6;
    static constexpr duration period_length = seconds(10);

    struct borne_period
    {
        std::int64_t index = -1; // of the period, counted from time zero; -1: unused
        held_load largest;
    };

    static std::int64_t period_of(time_point at);

    borne_load_options options_;
    std::array<borne_period, period_count> periods_{};
    std::optional<time_point> bounded_since_; // empty without a crash
};

} // namespace camphorrock
