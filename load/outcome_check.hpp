#pragma once

// Finds violations in a history by comparing the outcomes that callers received with the
// runs of the servers.

#include "codec/history.hpp"
#include "load/violation.hpp"

#include <vector>

namespace camphorrock
{

// Finds ids that ran more than once. Takes O(n log n) time.
std::vector<violation> find_two_runs(const std::vector<run_start_record>& runs);

// Finds attempts with the outcome not-run that ran, before or after the answer. Takes
// O(n log n) time.
std::vector<violation> find_runs_after_denial(const std::vector<attempt_record>& attempts,
                                              const std::vector<run_start_record>& runs);

// Finds answers with the outcome ran that are incomplete, belong to another request or
// match no run, and answers without a valid outcome. Takes O(n log n) time.
std::vector<violation> find_bad_answers(const std::vector<attempt_record>& attempts,
                                        const std::vector<run_start_record>& runs);

// Returns the number of attempts with an id whose outcome is not-run although another
// attempt of the id had begun to run before the answer.
std::size_t count_denied_after_other_attempt(const std::vector<attempt_record>& attempts,
                                             const std::vector<run_start_record>& runs);

} // namespace camphorrock
