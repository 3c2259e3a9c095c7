#pragma once

// Compares ways to keep a fleet of gateways within a server's rate limit: at several
// sizes of the fleet, with demand that is even, mostly at one gateway, or all there, and
// with lost datagrams.

#include "bench/report/report_table.hpp"

#include <cstdint>
#include <vector>

namespace camphorrock
{

// One table for each size of the fleet.
std::vector<report_table> limit_report(std::uint64_t seed);

} // namespace camphorrock
