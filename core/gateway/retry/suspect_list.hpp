#pragma once

// What one gateway knows of the requests under which servers have crashed: suspects,
// which are sent with the permission of the counting gateway only, and condemned ones,
// which are sent no more; see crash_counter.hpp.
//
//     switch (list.standing_of(fingerprint)) ...
//     list.add({fingerprint.whole, crashes}, now);
//
// Memory: about 100 bytes a row, at most `max_rows`. Beyond that, the suspect that was
// added first is dropped, and a condemned one only if there is no suspect.

#include "core/base/time.hpp"
#include "core/gateway/retry/crash_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace camphorrock
{

// The crashes after which a request is condemned: one may be an accident of another
// request that ran on the same server, and the next ones happen while no other suspect
// runs there.
constexpr unsigned crashes_to_condemn = 3;

enum class crash_standing
{
    clear,
    suspected,
    condemned,
};

struct suspect_list_options
{
    std::size_t max_rows = 8192;
    duration suspect_retention = std::chrono::minutes(10);
    // A condemned request is then tried again.
    duration verdict_retention = std::chrono::hours(24);
};

class suspect_list
{
public:
    explicit suspect_list(suspect_list_options options = {}) : options_(options) {}

    // True if no request is known. Then all are clear, and no fingerprint is needed.
    bool is_empty() const
    {
        return rows_.empty();
    }

    // The worse one of the two fingerprints. O(1).
    crash_standing standing_of(const request_fingerprint& request) const;

    known_crashes crashes_of(const request_fingerprint& request) const;

    // 0 for a fingerprint that is clear.
    unsigned crashes_of(std::uint64_t fingerprint) const;

    // Keeps the higher number of crashes. A row without crashes clears its fingerprint.
    // Returns true if the row is new or has changed.
    bool add(const suspect_row& row, time_point now);

    // The request is no suspect any more.
    void clear(const request_fingerprint& request);

    // Drops the rows that have reached their retention. O(rows).
    void expire(time_point now);

    // The condemned fingerprints, at most `max_rows` of them. O(rows).
    std::vector<suspect_row> condemned(std::size_t max_rows) const;

private:
    struct row
    {
        unsigned crashes = 0;
        time_point added_at{};
    };

    void drop_one();

    suspect_list_options options_;
    std::unordered_map<std::uint64_t, row> rows_;
};

} // namespace camphorrock
