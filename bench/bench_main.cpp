// camphorrock-bench: runs the decision objects on fixed scripts in virtual time and
// prints the measured figures.

#include "bench/balance/balance_report.hpp"
#include "bench/cost/cost_report.hpp"
#include "bench/crash/crash_report.hpp"
#include "bench/cut/cut_report.hpp"
#include "bench/limit/limit_report.hpp"
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
    bool only_cost = false;
    bool only_limit = false;
    bool only_crash = false;
    bool only_cut = false;
};

void append_tables(std::vector<report_table>& all, std::vector<report_table> more)
{
    for (report_table& it : more)
    {
        all.push_back(std::move(it));
    }
}

std::vector<report_table> run(const bench_options& options)
{
    const bool runs_all = !options.only_queue && !options.only_blocking &&
                          !options.only_balance && !options.only_limit &&
                          !options.only_crash && !options.only_cut;
    if (options.only_cost)
    {
        return cost_report();
    }
    std::vector<report_table> all;
    if (runs_all || options.only_queue)
    {
        for (const deployment& it : deployments())
        {
            append_tables(all, queue_report(it, options.queue));
        }
    }
    if (runs_all || options.only_blocking)
    {
        append_tables(all, blocking_report(options.queue));
    }
    if (runs_all || options.only_balance)
    {
        append_tables(all, balance_report(options.queue.seed));
    }
    if (runs_all || options.only_limit)
    {
        append_tables(all, limit_report(options.queue.seed));
    }
    if (runs_all || options.only_crash)
    {
        append_tables(all, crash_report(options.queue.seed));
    }
    if (runs_all || options.only_cut)
    {
        append_tables(all, cut_report(options.queue.seed));
    }
    return all;
}

} // namespace

int main(int argc, char** argv)
{
    bench_options options;
    CLI::App app{
        "Benchmarks the decisions of camphorrock on fixed scripts in virtual time."};
    app.set_version_flag("--version", CAMPHORROCK_VERSION);
    app.add_flag("--json", options.json, "Print JSON instead of tables");
    app.add_flag("--queue",
                 options.only_queue,
                 "Run only the queue scenarios of load peaks and faults");
    app.add_flag("--blocking",
                 options.only_blocking,
                 "Run only the scenarios of short requests behind long ones");
    app.add_flag(
        "--balance", options.only_balance, "Run only the key placement scenarios");
    app.add_flag(
        "--limit", options.only_limit, "Run only the scenarios of a server's rate limit");
    app.add_flag("--crash",
                 options.only_crash,
                 "Run only the scenarios of a request that crashes servers");
    app.add_flag("--cut",
                 options.only_cut,
                 "Run only the scenarios of gateways without a path to the servers");
    app.add_flag("--cost",
                 options.only_cost,
                 "Measure only processor time and memory of the decisions");
    app.add_option("--seed", options.queue.seed, "Seed of the random scripts");
    app.add_option("--servers",
                   options.queue.max_servers,
                   "Maximum number of servers to simulate for each scenario");
    app.add_option(
        "--policy", options.queue.policy, "Compare only fifo and this queue policy");
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
