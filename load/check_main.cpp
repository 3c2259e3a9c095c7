// camphorrock-check: reads the histories that the load tools and the fake servers wrote,
// and prints each violation of a guarantee. Exits with status 1 if there is any.

#include "app/command_line.hpp"
#include "codec/history_json.hpp"
#include "load/history_checker.hpp"
#include "load/violation_trace.hpp"

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

using namespace camphorrock;

namespace
{

// With --records, the number of violations whose records are printed.
constexpr std::size_t max_traced_violations = 5;

// Adds the record of one line. Returns the parse error, or "" on success.
std::string add_record(const std::string& line, history_checker& checker)
{
    return value_or_handle(
        [&]() -> result<std::string>
        {
            BOOST_LEAF_AUTO(entry, read_history_line(line));
            checker.add(std::move(entry));
            return std::string();
        },
        [](const error& ec) { return ec.text; });
}

// Adds the records of a file. A process that was killed may leave an incomplete last
// line, so a last line without a line break is skipped. Any other invalid line is an
// error.
result<void> read_file(const std::string& path, history_checker& checker)
{
    std::ifstream file(path);
    if (!file)
    {
        return fail(error_code::not_found, path + ": cannot open the history file");
    }
    std::size_t number = 0;
    for (std::string line; std::getline(file, line);)
    {
        ++number;
        if (file.eof())
        {
            break;
        }
        std::string fault = add_record(line, checker);
        if (!fault.empty())
        {
            std::string place = path + ":" + std::to_string(number);
            return fail(error_code::invalid_argument, place.append(": ").append(fault));
        }
    }
    return {};
}

bool read_all(const std::vector<std::string>& paths, history_checker& checker)
{
    for (const std::string& it : paths)
    {
        bool is_read = value_or_handle(
            [&]() -> result<bool>
            {
                BOOST_LEAF_CHECK(read_file(it, checker));
                return true;
            },
            [](const error& ec)
            {
                std::fprintf(stderr, "%s\n", ec.text.c_str());
                return false;
            });
        if (!is_read)
        {
            return false;
        }
    }
    return true;
}

// Prints up to `limit` related records for each of the first violations.
void print_records(const std::vector<std::string>& paths,
                   const std::vector<violation>& violations,
                   std::int64_t limit)
{
    std::vector<violation_trace> traces;
    for (const violation& it : violations)
    {
        if (traces.size() < max_traced_violations)
        {
            traces.emplace_back(it, static_cast<std::size_t>(limit));
        }
    }
    for (const std::string& path : paths)
    {
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);)
        {
            for (violation_trace& it : traces)
            {
                it.add(line);
            }
        }
    }
    for (std::size_t n = 0; n < traces.size(); ++n)
    {
        std::printf("records of %s\n", to_string(violations[n]).c_str());
        for (const std::string& line : traces[n].take_lines())
        {
            std::printf("    %s\n", line.c_str());
        }
    }
}

// Prints the first `limit` violations.
void print_violations(const std::vector<violation>& violations, std::int64_t limit)
{
    std::int64_t n = 0;
    for (const violation& it : violations)
    {
        if (++n > limit)
        {
            break;
        }
        std::printf("%s\n", to_string(it).c_str());
    }
}

} // namespace

int main(int argc, char** argv)
{
    command_line line("camphorrock-check",
                      "Checks recorded histories for violations of the guarantees.");
    std::vector<std::string> files;
    std::int64_t limit = 100;
    std::int64_t records = 0;
    line.add_option("files", files, "history files (JSON lines)");
    line.require("files");
    line.add_option("--records",
                    records,
                    "maximum records to print for each of the first violations");
    line.add_option("--limit", limit, "maximum violations to print");
    if (std::optional<int> status = line.parse(argc, argv))
    {
        return *status;
    }
    history_checker checker;
    if (!read_all(files, checker))
    {
        return exit_bad_usage;
    }
    std::vector<violation> violations = checker.check();
    print_violations(violations, limit);
    if (records > 0 && !violations.empty())
    {
        print_records(files, violations, records);
    }
    std::printf(
        "violations=%zu %s\n", violations.size(), to_string(checker.summary()).c_str());
    return violations.empty() ? exit_ok : exit_failure;
}
