// camphorrock-check: reads the histories of the load tool and the stand-in servers and
// names each request for which a promise was broken. Exits 1 if there is one.

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

// Violations whose records are printed.
constexpr std::size_t max_traced = 5;

// Adds one record; the fault as text where the line is none, or "".
std::string add_line(const std::string& line, history_checker& checker)
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

// Adds a file's records. A process that was killed may leave its last line cut; such a
// line is passed over, any other bad line is a fault.
result<void> read_file(const std::string& path, history_checker& checker)
{
    std::ifstream file(path);
    if (!file)
    {
        return fail(error_code::not_found, path + ": cannot be read");
    }
    std::size_t number = 0;
    for (std::string line; std::getline(file, line);)
    {
        ++number;
        if (file.eof())
        {
            break;
        }
        std::string fault = add_line(line, checker);
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

// Prints the records that concern the first violations.
void print_records(const std::vector<std::string>& paths,
                   const std::vector<violation>& found,
                   std::int64_t limit)
{
    std::vector<violation_trace> traces;
    for (const violation& it : found)
    {
        if (traces.size() < max_traced)
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
        std::printf("records of %s\n", to_string(found[n]).c_str());
        for (const std::string& line : traces[n].take())
        {
            std::printf("    %s\n", line.c_str());
        }
    }
}

void print(const std::vector<violation>& found, std::int64_t limit)
{
    std::int64_t n = 0;
    for (const violation& it : found)
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
                      "Checks recorded histories for broken promises.");
    std::vector<std::string> files;
    std::int64_t limit = 100;
    std::int64_t records = 0;
    line.add_option("files", files, "histories (JSON lines)");
    line.require("files");
    line.add_option(
        "--records", records, "records to print for each of the first violations");
    line.add_option("--limit", limit, "violations to print at most");
    if (std::optional<int> status = line.parse(argc, argv))
    {
        return *status;
    }
    history_checker checker;
    if (!read_all(files, checker))
    {
        return exit_bad_usage;
    }
    std::vector<violation> found = checker.check();
    print(found, limit);
    if (records > 0 && !found.empty())
    {
        print_records(files, found, records);
    }
    std::printf(
        "violations=%zu %s\n", found.size(), to_string(checker.summary()).c_str());
    return found.empty() ? exit_ok : exit_failure;
}
