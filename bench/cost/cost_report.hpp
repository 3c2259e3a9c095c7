#pragma once

// Measures the processor time and memory that the decision objects take on this machine,
// at several sizes. This is the only benchmark of camphorrock-bench that reads a clock,
// so its figures differ from run to run.

#include "bench/report/report_table.hpp"

#include <vector>

namespace camphorrock
{

std::vector<report_table> cost_report();

} // namespace camphorrock
