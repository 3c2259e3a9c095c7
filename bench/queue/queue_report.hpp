#pragma once

// The tables of the queue benches.

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
    std::size_t max_servers = 1000; // of a deployment, fewer for a quick look
    std::string policy;             // only the baseline and this one; empty: all
};

// All scenarios of the deployment under every policy.
std::vector<report_table> queue_report(const deployment& of,
                                       const queue_report_options& options);

// Waiting of short requests behind long ones, for mixes of both, beside the same short
// requests alone on the two slots that long work cannot take.
std::vector<report_table> blocking_report(const queue_report_options& options);

} // namespace camphorrock
