#pragma once

// The tables of the balance benches.

#include "bench/report/report_table.hpp"

#include <cstdint>
#include <vector>

namespace camphorrock
{

// All scenarios for services of each size that a deployment has, under every placement.
std::vector<report_table> balance_report(std::uint64_t seed);

} // namespace camphorrock
