#pragma once

// Counts the crashes of servers under each request, for one or more services, and permits
// the attempts of suspects. One gateway counts for each service; see crash_exchange.hpp.
//
//     counter.report(report, now);             // an attempt of a suspect has ended
//     const trial_answer got = counter.request(trial, now);
//     for (const suspect_row& it : counter.take_changes()) tell_all_gateways(it);
//
// A request that was under way when its server crashed is a suspect. So are the requests
// that ran beside it there, and all but one of them are good. Therefore:
//   - a suspect is sent to one server at a time in the whole fleet, and to none on which
//     another suspect runs, so each further crash has one suspect;
//   - a crash under an attempt that was permitted counts, and so does one that is
//     `min_crash_gap` later than the last one. Crashes of one moment, such as the loss of
//     a rack, raise the number to two at most;
//   - an answer of any server clears the request.
// A request is condemned at `crashes_to_condemn`. Its path, without query and key, is so
// only if the last two crashes were under different requests: if one query of it crashes
// servers, the others are suspects, and the first answer to one of them clears the path.
//
// Memory: at most `max_rows` fingerprints of about 100 bytes, the ones without news for
// the longest time are dropped first; one row for each attempt that is permitted. A call
// costs O(permitted attempts).

#include "core/gateway/retry/crash_messages.hpp"
#include "core/gateway/retry/suspect_list.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace camphorrock
{

struct crash_counter_options
{
    std::size_t max_rows = 8192;
    // Crashes closer together may have one cause.
    duration min_crash_gap = milliseconds(50);
    // A cleared request is remembered for this long, so that a gateway that still takes
    // it for a suspect does not make it one again.
    duration cleared_retention = std::chrono::minutes(1);
    duration suspect_retention = std::chrono::minutes(10);
    duration verdict_retention = std::chrono::hours(24);
};

class crash_counter
{
public:
    explicit crash_counter(crash_counter_options options = {}) : options_(options) {}

    // Permits the attempt or says why not. `trial.known` is believed unless the request
    // was cleared, since this gateway may have become the counting one just now.
    trial_answer request(const trial_request& trial, time_point now);

    // An attempt of a suspect, or one that crashed its server, has ended.
    void report(const trial_report& report, time_point now);

    // Another gateway counted an answer to the request, or will: what was counted here
    // does not stand any more.
    void learn_cleared(std::uint64_t fingerprint, time_point now);

    // The attempt does not run any more; its end is reported to another gateway.
    void end_trial(trial_id id);

    // 0 for a fingerprint that is not known or was cleared.
    unsigned crashes_of(std::uint64_t fingerprint) const;

    // The rows that changed so that other gateways must know: new suspects, verdicts, and
    // cleared ones, since several gateways may have counted the same request.
    std::vector<suspect_row> take_changes();

    // Drops the rows that have reached their retention. O(rows).
    void expire(time_point now);

private:
    struct row
    {
        unsigned crashes = 0; // 0: it was cleared
        time_point last_crash_at{};
        server_id last_crashed; // the server; empty if another gateway knew of the crash
        time_point changed_at{};
        std::uint64_t last_request = 0; // that crashed it, whole; 0 as for last_crashed
    };

    struct trial
    {
        request_fingerprint request;
        server_id server;
        time_point ends_at{};
    };

    void adopt(std::uint64_t fingerprint, unsigned crashes, time_point now);
    void count_crash(std::uint64_t fingerprint,
                     const trial_report& report,
                     bool was_permitted,
                     time_point now);
    // The crashes of the row after that one.
    unsigned crashes_after(const row& it,
                           const trial_report& report,
                           bool was_permitted,
                           time_point now) const;
    // True if a crash under the request may condemn the row's fingerprint.
    static bool may_condemn(const row& it,
                            std::uint64_t fingerprint,
                            const request_fingerprint& request);
    row& row_of(std::uint64_t fingerprint);
    duration retention_of(const row& it) const;

    crash_counter_options options_;
    std::unordered_map<std::uint64_t, row> rows_;
    std::map<trial_id, trial> trials_;
    std::set<std::uint64_t> changed_;
};

} // namespace camphorrock
