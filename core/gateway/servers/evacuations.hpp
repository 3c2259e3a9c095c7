#pragma once

// The data centres that the operator has drained, and for each the time at which the last
// requests are sent to it.
//
// An evacuation is the operator's drain of a whole data centre, by the store key
// `op/evacuate/ZONE`. Comments, events, metrics and documents say "drain of a data
// centre". Names in core/ say "evacuation", since a single server may drain too
// (listed_server::is_draining).
//
//     evacuations drained({.bound = seconds(5)});
//     drained.begin(zone, {revision, milliseconds(1100)}, now);  // the key was written
//     drained.end(zone, now);                                    // it was deleted
//     drained.find(zone)->stop_at;
//
// The store accepted the write up to `max_age` before the news of it arrived here, and no
// request may reach the data centre once the bound has passed since then. So requests end
// at the arrival of the news, plus the bound, less max_age, less a margin for requests
// that are under way. They end at once if it is not known how old the news is.
//
// A key that is written again leaves the stop time as it is, since the drain goes on.
//
// Memory: one row for each drained data centre and for each whose drain has ended within
// `ended_retention`, at most `max_data_centres` of each kind.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace camphorrock
{

struct evacuation_options
{
    duration bound = seconds(5); // from the write to the last request that arrives
    duration margin = milliseconds(250); // for requests that are under way
    std::size_t max_data_centres = 64;
    duration ended_retention = seconds(3600);
};

// What is known of the write that drains a data centre.
struct evacuation_news
{
    std::uint64_t revision = 0; // of the key in the store, for the log
    // How long ago the store accepted the write, at most; empty: not known.
    std::optional<duration> max_age;
};

struct evacuation
{
    std::uint64_t revision = 0;
    time_point begun_at{};
    time_point stop_at{}; // no request is sent to the data centre from then on

    bool operator==(const evacuation&) const = default;
};

class evacuations
{
public:
    explicit evacuations(evacuation_options options = {}) : options_(options) {}

    // Returns false, without effect, if the data centre is drained already, or if
    // `max_data_centres` are.
    bool begin(const data_centre& zone, const evacuation_news& news, time_point now);

    // Returns false, without effect, if the data centre is not drained.
    bool end(const data_centre& zone, time_point now);

    // Returns null if the data centre is not drained.
    const evacuation* find(const data_centre& zone) const;

    // When the data centre's last drain ended. Empty if it is drained, or was not within
    // `ended_retention`.
    std::optional<time_point> ended_at(const data_centre& zone) const;

    const std::map<data_centre, evacuation>& all() const
    {
        return drained_;
    }

private:
    void note_end(const data_centre& zone, time_point now);

    evacuation_options options_;
    std::map<data_centre, evacuation> drained_;
    std::map<data_centre, time_point> ended_;
};

} // namespace camphorrock
