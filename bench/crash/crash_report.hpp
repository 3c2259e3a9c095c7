#pragma once

// Compares ways to stop a request that crashes servers, in a simulated fleet: none, each
// gateway by itself, and the fleet by core/gateway/retry/crash_exchange.hpp.

#include "bench/report/report_table.hpp"

#include <cstdint>
#include <vector>

namespace camphorrock
{

// One table for each size of the fleet.
std::vector<report_table> crash_report(std::uint64_t seed);

} // namespace camphorrock
