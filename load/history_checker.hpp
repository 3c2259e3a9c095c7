#pragma once

// Finds the requests of a recorded run for which a promise was broken.
//
//     history_checker checker;
//     for (...) checker.add(entry);              // in any order
//     std::vector<violation> found = checker.check();
//
// It knows only the promises and the records, nothing of how the system works. A frozen
// or lost server owns a partition until its grant lapses. Memory is O(records); check()
// is O(n log n) in all records plus the overlaps it reports.

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

    // All violations, in the order of violation_kind.
    std::vector<violation> check() const;

    // The size of the history, and what is worth a look but breaks no promise.
    history_summary summary() const;

private:
    std::vector<grant_record> grants_;
    std::vector<revoke_record> revokes_;
    std::vector<run_start_record> runs_;
    std::map<std::string, history_time> ends_; // by run
    std::vector<attempt_record> attempts_;
    config_history config_;
};

} // namespace camphorrock
