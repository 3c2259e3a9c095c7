#include "bench/queue/queue_report.hpp"

#include "bench/queue/blocking_scenario.hpp"
#include "bench/queue/named_policy.hpp"
#include "bench/queue/queue_trial.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr double percent = 100;

// Servers whose arrivals make one row of the blocking report.
constexpr std::size_t blocking_servers = 8;

bool is_wanted(const named_policy& policy, const queue_report_options& options)
{
    return options.policy.empty() || policy.name == options.policy ||
           policy.name == fifo_policy().name;
}

report_table swing_table(const deployment& of, const queue_scenario& scenario)
{
    return {of.name + ": " + scenario.name,
            "policy",
            {{"useful %"},
             {"in time %"},
             {"x fifo", 2},
             {"short %"},
             {"long %"},
             {"others %"},
             {"short p99 ms"},
             {"long p99 ms"},
             {"refused", 0},
             {"of long", 0},
             {"shed", 0},
             {"short refused after p99 ms"},
             {"long refused after p50 ms"},
             {"p99 ms"}},
            {}};
}

report_row swing_row(const std::string& name, queue_metrics& got, double fifo_share)
{
    const double share = got.within_deadline_share();
    const double times = fifo_share > 0 ? share / fifo_share : 0;
    return {name,
            {got.useful_share() * percent,
             share * percent,
             times,
             got.short_work.share() * percent,
             got.long_work.share() * percent,
             got.other_callers.share() * percent,
             quantile(got.short_work.waits_ms, 0.99),
             quantile(got.long_work.waits_ms, 0.99),
             static_cast<double>(got.refused_deadline + got.refused_full),
             static_cast<double>(got.refused_long),
             static_cast<double>(got.shed),
             quantile(got.short_work.refused_after_ms, 0.99),
             quantile(got.long_work.refused_after_ms, 0.5),
             quantile(got.long_work.refused_after_ms, 0.99)}};
}

// Goodput before, in and after the storm, and the time until it is back.
report_row storm_row(const std::string& name,
                     const queue_scenario& scenario,
                     const queue_metrics& got)
{
    const auto second = [](duration at)
    {
        return static_cast<std::size_t>(std::chrono::floor<seconds>(at).count());
    };
    const retry_phase& storm = scenario.retries.front();
    const std::size_t from = second(scenario.warm_up);
    const std::size_t begin = second(storm.from);
    const std::size_t end = second(storm.to);
    const auto mean = [&](std::size_t first, std::size_t last)
    {
        double sum = 0;
        for (std::size_t i = first; i < last; ++i)
        {
            sum += got.good_per_second[i];
        }
        return sum / static_cast<double>(last - first);
    };
    return {name,
            {mean(from, begin),
             mean(begin, end),
             mean(end, end + 5),
             recovery_seconds(got.good_per_second, from, begin, end)}};
}

report_table storm_table(const deployment& of)
{
    return {of.name + ": goodput around the retry storm",
            "policy",
            {{"before /s"}, {"in storm /s"}, {"5 s after /s"}, {"back after s", 0}},
            {}};
}

report_table blocking_table(const std::string& title)
{
    return {title,
            "policy",
            {{"short p99 ms"},
             {"x alone", 2},
             {"fifo / it", 1},
             {"short in time %", 2},
             {"long in time %", 2},
             {"long p50 ms"},
             {"long p99 ms"},
             {"refused short", 0},
             {"refused long", 0}},
            {}};
}

report_row blocking_row(const std::string& name,
                        queue_metrics& got,
                        double alone_p99,
                        double fifo_p99)
{
    const double p99 = quantile(got.short_work.waits_ms, 0.99);
    const std::size_t refused = got.refused_deadline + got.refused_full;
    return {name,
            {p99,
             alone_p99 > 0 ? p99 / alone_p99 : 0,
             p99 > 0 ? fifo_p99 / p99 : 0,
             got.short_work.share() * percent,
             got.long_work.share() * percent,
             quantile(got.long_work.waits_ms, 0.5),
             quantile(got.long_work.waits_ms, 0.99),
             static_cast<double>(refused - got.refused_long),
             static_cast<double>(got.refused_long)}};
}

} // namespace

std::vector<report_table> queue_report(const deployment& of,
                                       const queue_report_options& options)
{
    const std::size_t servers = std::min(server_count(of), options.max_servers);
    std::vector<report_table> tables;
    for (const queue_scenario& scenario : queue_scenarios(of))
    {
        report_table table = swing_table(of, scenario);
        report_table storm = storm_table(of);
        double fifo_share = 0;
        for (const named_policy& policy : named_policies())
        {
            if (!is_wanted(policy, options))
            {
                continue;
            }
            queue_metrics got = run_queue_trials(scenario, policy, options.seed, servers);
            if (policy.name == fifo_policy().name)
            {
                fifo_share = got.within_deadline_share();
            }
            table.rows.push_back(swing_row(policy.name, got, fifo_share));
            if (!scenario.retries.empty())
            {
                storm.rows.push_back(storm_row(policy.name, scenario, got));
            }
        }
        tables.push_back(std::move(table));
        if (!storm.rows.empty())
        {
            tables.push_back(std::move(storm));
        }
    }
    return tables;
}

std::vector<report_table> blocking_report(const queue_report_options& options)
{
    const std::size_t servers = std::min(blocking_servers, options.max_servers);
    std::vector<report_table> tables;
    for (const blocking_mix& mix : blocking_mixes())
    {
        const queue_scenario mixed = blocking_scenario(mix);
        queue_metrics by_itself =
            run_queue_trials(without_long(mixed), fifo_policy(), options.seed, servers);
        const double alone_p99 = quantile(by_itself.short_work.waits_ms, 0.99);
        report_table table = blocking_table("blocking: " + mixed.name);
        table.rows.push_back(blocking_row("alone on 2 slots", by_itself, alone_p99, 0));
        double fifo_p99 = 0;
        for (const named_policy& policy : named_policies())
        {
            if (!is_wanted(policy, options))
            {
                continue;
            }
            queue_metrics got = run_queue_trials(mixed, policy, options.seed, servers);
            if (policy.name == fifo_policy().name)
            {
                fifo_p99 = quantile(got.short_work.waits_ms, 0.99);
            }
            table.rows.push_back(blocking_row(policy.name, got, alone_p99, fifo_p99));
        }
        tables.push_back(std::move(table));
    }
    return tables;
}

} // namespace camphorrock
