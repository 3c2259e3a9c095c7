#pragma once

// Picks the records of a history that tell how a violation came about: those which
// contain one of its names (an attempt, its request's tag, a run, an id), then those with
// its hash or endpoint only; of each the nearest in time where there are many.
//
//     violation_trace trace(found, 60);
//     for (...) trace.add(line);            // in any order
//     for (const std::string& it : trace.take()) ...
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
    violation_trace(const violation& found, std::size_t limit);

    // A line of a history. O(names * length).
    void add(std::string_view line);

    // The lines that were kept, in the order of their times.
    std::vector<std::string> take();

private:
    struct kept_line
    {
        std::uint64_t at;
        std::string text;
    };

    std::vector<std::string> names_;
    std::vector<std::string> broad_names_; // hashes and endpoints, which many lines name
    std::uint64_t at_ = 0;                 // of the violation
    std::size_t limit_;
    std::multimap<std::uint64_t, kept_line> by_distance_;
};

} // namespace camphorrock
