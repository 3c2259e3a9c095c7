#pragma once

// The figures of a load run: latencies and outcomes for each caller and class, and the
// unavailable time of the probed keys.

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

// One row of the report.
struct load_class
{
    std::string caller;
    std::string name; // "read-short", "write-long", ...

    auto operator<=>(const load_class&) const = default;
};

// What was seen for one class.
struct class_figures
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0; // a server's answer came, at whatever attempt
    std::uint64_t attempts = 0;
    std::uint64_t ran = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t no_answer = 0;    // no connection, timed out or cut
    latency_histogram latency;      // of served requests, from their arrival
    latency_histogram refusal_time; // of attempts told not-run

    class_figures();

    // Counts one attempt; `told` is none where there was no answer.
    void count_attempt(std::optional<outcome> told, duration taken);
};

class load_report
{
public:
    class_figures& of(const load_class& row)
    {
        return rows_[row];
    }

    // Counts an answer that no server gave, by the type of its problem.
    void count_problem(const std::string& type)
    {
        ++problems_[type];
    }

    void count_skipped()
    {
        ++skipped_;
    }

    void set_unavailable(std::vector<duration> ascending)
    {
        unavailable_ = std::move(ascending);
    }

    // For people: one line a class.
    std::string to_text() const;

    // For programs: one object.
    std::string to_json() const;

private:
    std::map<load_class, class_figures> rows_;
    std::map<std::string, std::uint64_t> problems_;
    std::uint64_t skipped_ = 0;         // not sent: too many in flight
    std::vector<duration> unavailable_; // of each probed key, ascending
};

} // namespace camphorrock
