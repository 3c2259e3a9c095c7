#pragma once

// The tables of the balance benchmarks.

#include "bench/report/report_table.hpp"

#include <cstdint>
#include <vector>

namespace camphorrock
{

// Runs every placement on all scenarios, for each number of servers that a service of the
// deployments has. Returns one table for each scenario and number of servers.
std::vector<report_table> balance_report(std::uint64_t seed);

} // namespace camphorrock
