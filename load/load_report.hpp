#pragma once

// The report of a load run: latencies and outcomes by caller and class, and the outage
// times of the probed keys.

#include "app/latency_histogram.hpp"
#include "core/base/outcome.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorrock
{

// Identifies one row of the report.
struct load_class
{
    std::string caller;
    std::string name; // "read-short", "write-long", ...

    auto operator<=>(const load_class&) const = default;
};

// The results of one row of the report.
struct class_stats
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0; // requests that a server ran and answered 200
    std::uint64_t attempts = 0;
    std::uint64_t ran = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t no_answer = 0; // no connection, timed out, cut off or no valid outcome
    latency_histogram latency;   // from a served request's arrival to its answer
    latency_histogram refusal_time; // of attempts with the outcome not-run

    class_stats();

    // Counts one attempt. `reported` is the outcome in its answer, or nullopt if there
    // was no answer or it had no valid outcome.
    void count_attempt(std::optional<outcome> reported, duration time_taken);
};

class load_report
{
public:
    class_stats& stats_for(const load_class& row)
    {
        return rows_[row];
    }

    // Counts an answer that did not come from a server, by its problem type.
    void count_problem(const std::string& type)
    {
        ++problems_[type];
    }

    // Counts a request that was not sent since too many were in flight.
    void count_skipped()
    {
        ++skipped_;
    }

    // Sets the duration of the longest outage of each probed key.
    void set_longest_outages(std::vector<duration> ascending)
    {
        longest_outages_ = std::move(ascending);
    }

    // Returns a table with one line per class, for people.
    std::string to_text() const;

    // Returns one JSON object, for programs.
    std::string to_json() const;

private:
    std::map<load_class, class_stats> rows_;
    std::map<std::string, std::uint64_t> problems_;
    std::uint64_t skipped_ = 0;             // requests not sent: too many were in flight
    std::vector<duration> longest_outages_; // of each probed key, in ascending order
};

} // namespace camphorrock
