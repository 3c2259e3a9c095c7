#pragma once

// Finds the violations of the system's guarantees in a recorded history.
//
//     history_checker checker;
//     for (...) checker.add(entry);              // in any order
//     std::vector<violation> found = checker.check();
//
// The checker relies only on the guarantees and the records, not on how the system works.
// A frozen or failed server owns a partition until its grant lapses. Memory is
// O(records); check() takes O(n log n) time in all records plus the overlaps it reports.

#include "codec/history.hpp"
#include "load/config_check.hpp"
#include "load/history_summary.hpp"
#include "load/violation.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorrock
{

class history_checker
{
public:
    void add(history_entry entry);

    // Returns all violations, in the order of violation_kind.
    std::vector<violation> check() const;

    // Returns the size of the history, and counts of events that may need attention but
    // are no violations.
    history_summary summary() const;

private:
    std::vector<grant_record> grants_;
    std::vector<revoke_record> revokes_;
    std::vector<run_start_record> runs_;
    std::map<std::string, history_time> run_ends_; // by run
    std::vector<attempt_record> attempts_;
    config_history config_;
};

} // namespace camphorrock
