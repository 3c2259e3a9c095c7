#pragma once

// Compares what gateways do for their callers when their links to all servers are cut, in
// a simulated fleet: refuse them, or send their requests by other gateways.

#include "bench/report/report_table.hpp"

#include <cstdint>
#include <vector>

namespace camphorrock
{

// One table for each size of the fleet.
std::vector<report_table> cut_report(std::uint64_t seed);

} // namespace camphorrock
