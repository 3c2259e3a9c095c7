#pragma once

// The part of the history check that compares what callers were told with what ran.

#include "codec/history.hpp"
#include "load/violation.hpp"

#include <vector>

namespace camphorrock
{

// Ids that ran more than once. O(n log n).
std::vector<violation> find_two_runs(const std::vector<run_start_record>& runs);

// Attempts told not-run that ran, at whatever time. O(n log n).
std::vector<violation> find_runs_after_denial(const std::vector<attempt_record>& attempts,
                                              const std::vector<run_start_record>& runs);

// Answers told as ran that are foreign, cut or of no run, and answers without an
// outcome. O(n log n).
std::vector<violation> find_bad_answers(const std::vector<attempt_record>& attempts,
                                        const std::vector<run_start_record>& runs);

// How many attempts with an id were told not-run after another attempt had begun to run.
std::size_t count_denied_after_other_attempt(const std::vector<attempt_record>& attempts,
                                             const std::vector<run_start_record>& runs);

} // namespace camphorrock
