#pragma once

// What the decisions cost on this machine: processor time and memory at several sizes.
// The one bench that reads a clock; its figures differ from run to run.

#include "bench/report/report_table.hpp"

#include <vector>

namespace camphorrock
{

std::vector<report_table> cost_report();

} // namespace camphorrock
