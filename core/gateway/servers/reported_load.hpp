#pragma once

// What one server has reported of its load: the latest report with its time, and how far
// the reports are trusted.
//
//     reported_load load;
//     load.observe({3, 0, 8, 100}, own_requests, now - age);
//     const unsigned requests = load.requests_of_others({counted, slots}, now);
//     const double factor = load.slowness(now);
//     load.compare(with_reports, without_reports, measured);
//
// A report fades with its age: the requests of others move to those that the gateways
// count, and the slowness moves to 1, half of the way in each half-life.
//
// The figures may be wrong. After each answer, the latency that was expected with the
// reports and the one expected without them are compared with the measured one. If the
// reports have made the expectation worse on average, they are not used until they would
// have made it better again. So wrong figures have an effect for a few answers only.
//
// requests_of_others() and slowness() follow the latest report also while it is not
// trusted, so that the comparison can go on. Check is_trusted() before their use.
//
// Invariants: without a report, requests_of_others() is the counted number and slowness()
// is 1; the slowness is always within `min_slowness_percent` and `max_slowness_percent`;
// the result for the requests of others is at least half of the counted ones, and at most
// the counted ones and one for every other slot.
//
// Memory: constant. Each call costs O(1).

#include "core/base/time.hpp"
#include "core/gateway/servers/listed_server.hpp"
#include "core/gateway/servers/remote_loads.hpp"

#include <optional>

namespace camphorrock
{

// The figures of one report.
struct server_load
{
    unsigned running = 0; // requests
    unsigned waiting = 0; // requests
    unsigned slots = 0;
    unsigned slowness_percent = 100; // of the usual time that work takes

    auto operator<=>(const server_load&) const = default;
};

constexpr unsigned max_reported_requests = 10000; // running, waiting, or slots
constexpr unsigned min_slowness_percent = 25;
constexpr unsigned max_slowness_percent = 300;

// True if the counts are at most `max_reported_requests`.
bool is_plausible(const server_load& load);

// Returns the load with its slowness moved into the bounds above.
server_load with_bounded_slowness(server_load load);

// What one answer says of its server's load.
struct load_statement
{
    bool is_present = false;         // the answer has the header
    bool is_readable = false;        // all of its figures were read
    std::optional<server_load> load; // empty if the counts were not read
};

// A report as a gateway passes it on to others.
struct aged_server_report
{
    server_tag server;
    server_incarnation incarnation;
    server_load load;
    duration age{};

    bool operator==(const aged_server_report&) const = default;
};

class reported_load
{
public:
    // Takes a report that was made at `at`, when `own` of the reported requests were this
    // gateway's. Returns false and has no effect if it is not newer than the latest one.
    bool observe(const server_load& load, unsigned own, time_point at);

    bool is_known() const
    {
        return is_known_;
    }

    const server_load& latest() const
    {
        return latest_;
    }

    time_point observed_at() const
    {
        return observed_at_;
    }

    bool is_trusted() const
    {
        return is_trusted_;
    }

    // The expected number of other gateways' requests at the server, whether or not the
    // reports are trusted. `counted` is what the gateways count. `is_covered` says that
    // all gateways that use the server report their requests to this one.
    struct counts
    {
        unsigned counted = 0;
        unsigned slots = 0;
        bool is_covered = true;
    };
    unsigned requests_of_others(const counts& known, time_point now) const;

    // The factor by which work takes longer than usual, whether or not the reports are
    // trusted.
    double slowness(time_point now) const;

    // Expected and measured latencies of one answer.
    struct comparison
    {
        duration with_reports{};
        duration without_reports{};
        duration measured{};
    };
    // Returns true if the reports have just lost their trust.
    bool compare(const comparison& it);

    // The server refused a request for want of room. Returns true if it had reported
    // room, and its reports have just lost their trust.
    bool note_refusal();

private:
    bool add_harm(double harm);

    bool is_known_ = false;
    bool is_trusted_ = true;
    server_load latest_;
    unsigned reported_others_ = 0; // requests that were not this gateway's
    time_point observed_at_{};
    // Moving average of the error of the expectations with reports less that of those
    // without them.
    double harm_ = 0;
};

} // namespace camphorrock
