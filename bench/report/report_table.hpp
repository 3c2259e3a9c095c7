#pragma once

// A table of figures that a bench has measured, for people and as JSON.

#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace camphorrock
{

struct report_column
{
    std::string name; // with its unit, "p99 ms"
    int decimals = 1;
};

struct report_row
{
    std::string label;
    std::vector<double> values; // one for each column
};

struct report_table
{
    std::string title;
    std::string label_name; // heading of the labels
    std::vector<report_column> columns;
    std::vector<report_row> rows;
};

// Columns aligned, one line a row, an empty line at the end.
void print_text(const report_table& table, std::ostream& out);

// One JSON array with an object for each table.
void print_json(const std::vector<report_table>& tables, std::ostream& out);

} // namespace camphorrock
