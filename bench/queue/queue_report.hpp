#pragma once

// The tables of the queue benchmarks.

#include "bench/queue/queue_scenario.hpp"
#include "bench/report/report_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorrock
{

struct queue_report_options
{
    std::uint64_t seed = 1;
    std::size_t max_servers = 1000; // simulated per scenario; fewer for a quick run
    std::string policy;             // compares only the baseline and this one; empty: all
};

// Runs all selected policies on all scenarios of the deployment.
std::vector<report_table> queue_report(const deployment& target,
                                       const queue_report_options& options);

// Measures how long short requests wait behind long ones, for several mixes. The first
// row of each table has the same short requests alone on the two slots that long requests
// may not use.
std::vector<report_table> blocking_report(const queue_report_options& options);

} // namespace camphorrock
