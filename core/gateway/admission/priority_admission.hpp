#pragma once

// Gives the longest expected latency with which a request is sent, where requests of
// several priorities meet at one service: under overload, the less urgent ones are
// refused first. One object for each service of a gateway.
//
//     const admission_request it{route.priority_level, {time_left, target}, is_owned};
//     const admission_limit limit = admission.limit_of(it, *to, now);
//     if (is_worth_sending(*to, limit.longest)) ... // send, and note_sent()
//     else ...                                      // refuse, and note_refused()
//
// The rules, beginning with latency_limit():
//   - a request leaves room for the more urgent ones: it is refused if a request of any
//     more urgent priority that came within `evidence_time`, behind it, would be expected
//     later than its target. A slot that stays free is always room enough. The room is
//     for one request, and for more while requests of that priority miss their targets:
//     the load of a server is known late, and urgent requests come together. The misses
//     at one owner of keys count once in `owner_miss_interval`, as more room at all
//     owners does not help the one that has a hot key;
//   - no priority starves: each request earns its priority `least_share` of the fraction
//     of all requests that is sent. What a priority has earned and did not get is sent as
//     if it were the most urgent;
//   - a request of the most urgent priority is sent up to its deadline while the server
//     is one of several, nearly all of its priority are sent, and no request of another
//     kind that is expected in time becomes late behind it. An owner of keys may be
//     overloaded alone, and this gateway sees too few of its requests to tell.
//
// Invariants:
//   - while all requests of a service have one priority, the limit is latency_limit();
//   - what is concluded from requests that came expires within `evidence_time`; the
//     learned service times stay, which only compare the kinds of requests.
//
// Requests of one priority and one target are of one kind. Memory: `levels` rows of
// `max_kinds` kinds and `slice_count` slices, and `max_missed_owners` owners. A limit
// costs O(kinds + slices).

#include "core/gateway/servers/latency_limit.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace camphorrock
{

struct priority_admission_options
{
    duration evidence_time = seconds(2);
    double least_share = 0.25;         // of the fraction sent of all requests
    double share_to_be_late = 0.95;    // sent of a priority, above which it may be late
    double smoothing = 0.1;            // least weight of a service time without a queue
    double smoothing_of_queued = 0.02; // and of one that was measured behind a queue
    // In requests. The room is steady while one in eleven urgent requests misses its
    // target.
    double room_per_miss = 2;
    double room_per_in_time = 0.2;
    double max_room = 12;
    duration owner_miss_interval = milliseconds(200); // one miss at an owner counts in it
};

// A request as far as its admission depends on it.
struct admission_request
{
    unsigned priority = 0; // 0 is the most urgent
    answer_terms terms;
    bool has_one_server = false; // as the owner of its key
};

// The room that a request would take from a more urgent one.
struct missing_room
{
    unsigned priority = 0; // of the more urgent one
    unsigned requests = 0; // of which room is left, the refused one included
    duration target{};     // of the more urgent one
    duration expected{};   // its latency behind as many requests; above the target

    // Until the queue is expected to have shortened by it.
    duration time_until() const
    {
        return expected - target;
    }
};

struct admission_limit
{
    duration longest{};                  // the longest expected latency that is sent
    std::optional<missing_room> missing; // if a more urgent priority decides
};

class priority_admission
{
public:
    explicit priority_admission(priority_admission_options options = {})
        : options_(options)
    {
    }

    admission_limit limit_of(const admission_request& request,
                             const server_choice& to,
                             time_point now) const;

    // The first attempt of a request was sent.
    void note_sent(const admission_request& request, time_point now);

    // A request was refused before its first attempt; `to` was chosen for it first.
    void note_refused(const admission_request& request,
                      const server_choice& to,
                      time_point now);

    // A request that was noted as sent has brought no server's answer. It missed its
    // target for lack of room unless it was sent to a free slot: a server that refuses or
    // loses requests for another reason takes no room from the less urgent ones.
    void note_unserved(const admission_request& request,
                       const server_choice& to,
                       time_point now);

    // The server answered a request `elapsed` after it was sent.
    void note_answered(const admission_request& request,
                       const server_choice& to,
                       duration elapsed,
                       time_point now);

    // The fraction sent of the requests of that priority that came within
    // `evidence_time`; 1 if none came.
    double sent_share(unsigned priority, time_point now) const;

private:
    static constexpr std::size_t levels = 8; // higher numbers count as the last
    static constexpr std::size_t max_kinds = 4;
    static constexpr std::size_t slice_count = 8;
    static constexpr std::size_t max_missed_owners = 64;

    // Requests of one priority with one target.
    struct kind
    {
        duration target{};
        time_point last_seen{};
        double work = 1;      // service time, as a multiple of the server's expected one
        unsigned answers = 0; // that `work` rests on, without those behind a queue
    };

    struct slice
    {
        std::int64_t index = -1; // counted from time zero; -1: unused
        int requests = 0;
        int sent = 0; // less those that were found unserved
    };

    struct level
    {
        std::vector<kind> kinds;
        std::array<slice, slice_count> slices{};
        // Requests that the priority has earned by `least_share` and did not get.
        double credit = 0;
        double room = 1;        // in requests, as of `missed_at`; see room_of()
        time_point missed_at{}; // when a request last missed its target
    };

    // An owner of keys at which an urgent request missed its target.
    struct missed_owner
    {
        server_id server;
        time_point at{};
    };

    struct request_counts
    {
        int requests = 0;
        int sent = 0;

        double share() const;
    };

    // The requests of which room is left for that level.
    double room_of(const level& it, time_point now) const;
    // A request of the level was answered within its target, or missed it.
    void note_timeliness(const admission_request& request,
                         const server_choice& to,
                         bool is_missed,
                         time_point now);
    bool is_counted_miss(const admission_request& request,
                         const server_choice& to,
                         time_point now);
    static std::size_t level_index(unsigned priority);
    level& level_of(const admission_request& request);
    bool is_recent(const kind& it, time_point now) const;
    bool has_recent(const level& it, time_point now) const;
    kind& kind_of(const admission_request& request, time_point now);
    std::int64_t slice_index(time_point now) const;
    slice& slice_at(level& it, time_point now) const;
    request_counts counts_of(const level& it, time_point now) const;
    double share_of_all(time_point now) const;
    std::optional<missing_room>
    find_missing(std::size_t below, const server_choice& to, time_point now) const;
    bool may_be_late(const admission_request& request,
                     const server_choice& to,
                     time_point now) const;

    priority_admission_options options_;
    std::array<level, levels> levels_{};
    std::vector<missed_owner> missed_owners_;
};

} // namespace camphorrock
