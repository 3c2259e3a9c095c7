// camphorrock-bench: plays fixed scripts to the decision objects in virtual time and
// prints what it measured.

#include "bench/balance/balance_report.hpp"
#include "bench/cost/cost_report.hpp"
#include "bench/queue/queue_report.hpp"
#include "bench/report/report_table.hpp"

#include <CLI/CLI.hpp>

#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace camphorrock;

struct bench_options
{
    queue_report_options queue;
    bool json = false;
    bool only_queue = false;
    bool only_blocking = false;
    bool only_balance = false;
    bool cost = false;
};

void add_tables(std::vector<report_table>& all, std::vector<report_table> more)
{
    for (report_table& it : more)
    {
        all.push_back(std::move(it));
    }
}

std::vector<report_table> run(const bench_options& options)
{
    const bool everything =
        !options.only_queue && !options.only_blocking && !options.only_balance;
    if (options.cost)
    {
        return cost_report();
    }
    std::vector<report_table> all;
    if (everything || options.only_queue)
    {
        for (const deployment& it : deployments())
        {
            add_tables(all, queue_report(it, options.queue));
        }
    }
    if (everything || options.only_blocking)
    {
        add_tables(all, blocking_report(options.queue));
    }
    if (everything || options.only_balance)
    {
        add_tables(all, balance_report(options.queue.seed));
    }
    return all;
}

} // namespace

int main(int argc, char** argv)
{
    bench_options options;
    CLI::App app{
        "Measures the decisions of camphorrock on fixed scripts in virtual time."};
    app.set_version_flag("--version", CAMPHORROCK_VERSION);
    app.add_flag("--json", options.json, "Print JSON in place of tables");
    app.add_flag("--queue", options.only_queue, "Only load swings and faults");
    app.add_flag("--blocking", options.only_blocking, "Only short work behind long");
    app.add_flag("--balance", options.only_balance, "Only placement of keys");
    app.add_flag("--cost", options.cost, "Only processor time and memory, by the clock");
    app.add_option("--seed", options.queue.seed, "Seed of the scripts");
    app.add_option("--servers", options.queue.max_servers, "At most so many servers");
    app.add_option("--policy", options.queue.policy, "Only fifo and this queue policy");
    CLI11_PARSE(app, argc, argv);

    const std::vector<report_table> tables = run(options);
    if (options.json)
    {
        print_json(tables, std::cout);
        return 0;
    }
    for (const report_table& it : tables)
    {
        print_text(it, std::cout);
    }
    return 0;
}
