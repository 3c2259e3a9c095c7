#pragma once

// A table of the figures that a benchmark measured, printed as text or JSON.

#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace camphorrock
{

struct report_column
{
    std::string name; // with the unit, for example "p99 ms"
    int decimals = 1; // of the values in text output
};

struct report_row
{
    std::string label;
    std::vector<double> values; // one for each column
};

struct report_table
{
    std::string title;
    std::string label_name; // heading of the column of labels
    std::vector<report_column> columns;
    std::vector<report_row> rows;
};

// Prints the title and aligned columns, one line per row, then an empty line.
void print_text(const report_table& table, std::ostream& out);

// Prints one JSON array with an object for each table.
void print_json(const std::vector<report_table>& tables, std::ostream& out);

} // namespace camphorrock
