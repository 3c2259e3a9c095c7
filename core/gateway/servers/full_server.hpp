#pragma once

// Bounds the requests that one server may hold, for servers that never answer a request
// that they can't queue. A request that got no response in time is a silence.
//
//     if (held + server.given_up(now) >= server.bound(slots, now)) ... // no room
//     server.note_answer({sent_at, load, expected}, now);
//     silence_class why = server.note_silence({sent_at, load, expected}, slots, now);
//
// The bound is the slots plus `queue_length`, or the largest number of requests under
// which the server answered lately, if that is more. A silence that shows that the server
// was full lowers it to the number of requests that were there. It stays lowered for
// `lowered_for` and then rises to its earlier value within `recovery`, or at once to the
// number under which the server answers.
//
// A request that was given up may still run or wait at the server, so it counts as held
// until its answer was expected.
//
// Invariants:
//   - the bound is never below the slots;
//   - without a silence, it is never below the slots plus `queue_length`;
//   - only a silence of the class `full` lowers it, and it is back after `lowered_for`
//     plus `recovery`;
//   - what the server answered under after a silent request was sent says nothing of its
//     queue before: it may have been counted as holding requests that it never answers.
//
// The object is to be replaced when the server has another incarnation.
// Memory: `answer_count` answers, `period_count` numbers and `max_given_up` times. Each
// call costs O(all three).

#include "core/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace camphorrock
{

// Why a request got no response.
enum class silence_class
{
    full, // later requests were answered, and the requests there were near the bound
    slow, // since it was sent, only earlier requests were answered, and some late
    gone, // since it was sent, a connection failed, and no answer came after that
    lost, // later requests were answered, and there were few: its connection alone failed
    unknown, // none of the above
};

// "full", "slow", ...
std::string_view name_of(silence_class value);

// A request that was sent to the server.
struct sent_request
{
    time_point sent_at{};
    unsigned load = 0;   // other requests at the server when it was sent, of all gateways
    duration expected{}; // from when it was sent to its answer
};

struct full_server_options
{
    unsigned queue_length = 12; // requests that a server is taken to queue at least
    duration lowered_for = seconds(1);
    duration recovery = milliseconds(900);
    std::size_t max_given_up = 32; // further ones replace the earliest
    // A request that is answered more than this many times later than expected is late.
    int late_factor = 2;
    // Requests that were sent less than this apart may arrive in any order.
    duration reordering = milliseconds(20);
    // A request is taken for lost if it takes this many times longer than expected while
    // `later_answers` requests that were sent after it are answered, or none can be sent.
    int overdue_factor = 3;
    unsigned later_answers = 2;
};

class full_server
{
public:
    explicit full_server(full_server_options options = {}) : options_(options) {}

    // The largest number of requests that the server may hold.
    unsigned bound(unsigned slots, time_point now) const;

    // The requests that were given up and may still be there.
    unsigned given_up(time_point now) const;

    // The server answered the request.
    void note_answer(const sent_request& it, time_point now);

    // A connection to the server was refused or timed out.
    void note_unreachable(time_point now)
    {
        unreachable_at_ = now;
    }

    // A request was given up after it was sent; it counts as held until `held_until`.
    void note_given_up(time_point held_until, time_point now);

    // The request got no response until now. Lowers the bound if the server was full.
    silence_class note_silence(const sent_request& it, unsigned slots, time_point now);

    // The class that note_silence() would return now. Changes nothing.
    silence_class classify(const sent_request& it, unsigned slots) const;

    // True if the request, which has got no response until now, is probably lost: other
    // requests there show that waiting for it is of no use.
    bool is_probably_lost(const sent_request& it, unsigned slots, time_point now) const;

    // How long after a request was sent is_probably_lost() can be true at the earliest.
    duration overdue_after(duration expected) const
    {
        return options_.overdue_factor * expected;
    }

private:
    static constexpr std::size_t answer_count = 8;
    static constexpr std::size_t period_count = 6;
    static constexpr duration period_length = seconds(2);

    struct answered_request
    {
        time_point sent_at{};
        time_point answered_at{};
        unsigned held = 0; // requests at the server when it was sent, itself included
        bool is_late = false;
    };

    struct answer_period
    {
        std::int64_t index = -1;   // of the period, counted from time zero; -1: unused
        unsigned largest_held = 0; // of the requests answered in it
    };

    // The number of answers to requests that were sent after `sent_at`, of the last
    // `answer_count` ones.
    unsigned answers_to_later(time_point sent_at) const;
    static std::int64_t period_of(time_point at);
    unsigned unlowered_bound(unsigned slots, time_point now) const;
    // The largest number of requests under which the server answered lately; 0 without
    // answers.
    unsigned largest_answered(time_point now) const;
    // The same for requests that had been sent before `sent_at`.
    unsigned largest_answered_before(time_point sent_at) const;
    bool is_near_bound(const sent_request& it, unsigned slots) const;

    full_server_options options_;
    std::array<answered_request, answer_count> answers_{}; // a ring
    std::size_t answers_seen_ = 0;
    std::array<answer_period, period_count> periods_{};
    std::optional<time_point> unreachable_at_; // the last time
    std::optional<time_point> full_at_;        // when the bound was last lowered
    unsigned lowered_to_ = 0;                  // valid if full_at_ is set
    std::vector<time_point> held_until_;       // of each request given up
};

} // namespace camphorrock
