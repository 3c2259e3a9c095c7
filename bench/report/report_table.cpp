#include "bench/report/report_table.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>

namespace camphorrock
{
namespace
{

constexpr int min_width = 9; // characters of a column

int label_width(const report_table& table)
{
    std::size_t width = table.label_name.size();
    for (const report_row& row : table.rows)
    {
        width = std::max(width, row.label.size());
    }
    return static_cast<int>(width) + 2;
}

int column_width(const report_column& column)
{
    return std::max(min_width, static_cast<int>(column.name.size())) + 2;
}

nlohmann::json to_json(const report_table& table)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const report_row& row : table.rows)
    {
        nlohmann::json line{{table.label_name, row.label}};
        for (std::size_t i = 0; i < table.columns.size(); ++i)
        {
            line[table.columns[i].name] = row.values[i];
        }
        rows.push_back(std::move(line));
    }
    return {{"title", table.title}, {"rows", std::move(rows)}};
}

} // namespace

void print_text(const report_table& table, std::ostream& out)
{
    const int width = label_width(table);
    out << "## " << table.title << "\n\n" << std::left << std::setw(width);
    out << table.label_name << std::right;
    for (const report_column& column : table.columns)
    {
        out << std::setw(column_width(column)) << column.name;
    }
    out << "\n" << std::fixed;
    for (const report_row& row : table.rows)
    {
        out << std::left << std::setw(width) << row.label << std::right;
        for (std::size_t i = 0; i < table.columns.size(); ++i)
        {
            out << std::setw(column_width(table.columns[i]))
                << std::setprecision(table.columns[i].decimals) << row.values[i];
        }
        out << "\n";
    }
    out << "\n";
}

void print_json(const std::vector<report_table>& tables, std::ostream& out)
{
    nlohmann::json all = nlohmann::json::array();
    for (const report_table& table : tables)
    {
        all.push_back(to_json(table));
    }
    out << all.dump(1) << "\n";
}

} // namespace camphorrock
