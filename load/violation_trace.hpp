#pragma once

// Selects the records of a history that explain a violation: first those that contain one
// of its names (an attempt, its request's tag, a run, an id), then those that contain
// only its hash or endpoint. If there are too many, the ones closest in time to the
// violation are kept.
//
//     violation_trace trace(found, 60);
//     for (...) trace.add(line);            // in any order
//     for (const std::string& it : trace.take_lines()) ...
//
// Memory is O(limit).

#include "load/violation.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace camphorrock
{

class violation_trace
{
public:
    // Keeps at most `limit` lines.
    violation_trace(const violation& found, std::size_t limit);

    // Adds a line of a history. Takes O(names * length) time.
    void add(std::string_view line);

    // Returns the kept lines in the order of their times, and clears them.
    std::vector<std::string> take_lines();

private:
    struct kept_line
    {
        std::uint64_t at; // microseconds
        std::string text;
    };

    std::vector<std::string> names_;
    std::vector<std::string> broad_names_; // hashes and endpoints, which many lines have
    // In microseconds: the highest number in the violation's subject and text.
    std::uint64_t violation_time_ = 0;
    std::size_t limit_;
    std::multimap<std::uint64_t, kept_line> by_distance_;
};

} // namespace camphorrock
