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

// The number of servers simulated for each row of the blocking report.
constexpr std::size_t blocking_servers = 8;

bool is_selected(const named_policy& policy, const queue_report_options& options)
{
    return options.policy.empty() || policy.name == options.policy ||
           policy.name == fifo_policy().name;
}

report_table swing_table(const deployment& target, const queue_scenario& scenario)
{
    return {target.name + ": " + scenario.name,
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

report_row swing_row(const std::string& name, queue_metrics& metrics, double fifo_share)
{
    const double share = metrics.within_deadline_share();
    const double fifo_ratio = fifo_share > 0 ? share / fifo_share : 0;
    return {
        name,
        {metrics.useful_slot_time_share() * percent,
         share * percent,
         fifo_ratio,
         metrics.short_requests.within_deadline_share() * percent,
         metrics.long_requests.within_deadline_share() * percent,
         metrics.other_callers.within_deadline_share() * percent,
         quantile(metrics.short_requests.waits_ms, 0.99),
         quantile(metrics.long_requests.waits_ms, 0.99),
         static_cast<double>(metrics.refused_for_deadline + metrics.refused_queue_full),
         static_cast<double>(metrics.refused_long),
         static_cast<double>(metrics.shed),
         quantile(metrics.short_requests.refused_after_ms, 0.99),
         quantile(metrics.long_requests.refused_after_ms, 0.5),
         quantile(metrics.long_requests.refused_after_ms, 0.99)}};
}

// Goodput before, during and after the retry storm, and the recovery time.
report_row storm_row(const std::string& name,
                     const queue_scenario& scenario,
                     const queue_metrics& metrics)
{
    const auto second = [](duration at)
    {
        return static_cast<std::size_t>(std::chrono::floor<seconds>(at).count());
    };
    const retry_phase& storm = scenario.retry_phases.front();
    const std::size_t from = second(scenario.warm_up);
    const std::size_t begin = second(storm.from);
    const std::size_t end = second(storm.to);
    const auto mean = [&](std::size_t first, std::size_t last)
    {
        double sum = 0;
        for (std::size_t i = first; i < last; ++i)
        {
            sum += metrics.goodput_per_second[i];
        }
        return sum / static_cast<double>(last - first);
    };
    return {name,
            {mean(from, begin),
             mean(begin, end),
             mean(end, end + 5),
             recovery_seconds(metrics.goodput_per_second, from, begin, end)}};
}

report_table storm_table(const deployment& target)
{
    return {target.name + ": goodput around the retry storm",
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
                        queue_metrics& metrics,
                        double alone_p99,
                        double fifo_p99)
{
    const double p99 = quantile(metrics.short_requests.waits_ms, 0.99);
    const std::size_t refused = metrics.refused_for_deadline + metrics.refused_queue_full;
    return {name,
            {p99,
             alone_p99 > 0 ? p99 / alone_p99 : 0,
             p99 > 0 ? fifo_p99 / p99 : 0,
             metrics.short_requests.within_deadline_share() * percent,
             metrics.long_requests.within_deadline_share() * percent,
             quantile(metrics.long_requests.waits_ms, 0.5),
             quantile(metrics.long_requests.waits_ms, 0.99),
             static_cast<double>(refused - metrics.refused_long),
             static_cast<double>(metrics.refused_long)}};
}

} // namespace

std::vector<report_table> queue_report(const deployment& target,
                                       const queue_report_options& options)
{
    const std::size_t servers = std::min(server_count(target), options.max_servers);
    std::vector<report_table> tables;
    for (const queue_scenario& scenario : queue_scenarios(target))
    {
        report_table table = swing_table(target, scenario);
        report_table storm = storm_table(target);
        double fifo_share = 0;
        for (const named_policy& policy : named_policies())
        {
            if (!is_selected(policy, options))
            {
                continue;
            }
            queue_metrics metrics =
                run_queue_trials(scenario, policy, options.seed, servers);
            if (policy.name == fifo_policy().name)
            {
                fifo_share = metrics.within_deadline_share();
            }
            table.rows.push_back(swing_row(policy.name, metrics, fifo_share));
            if (!scenario.retry_phases.empty())
            {
                storm.rows.push_back(storm_row(policy.name, scenario, metrics));
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
        queue_metrics alone = run_queue_trials(
            without_long_requests(mixed), fifo_policy(), options.seed, servers);
        const double alone_p99 = quantile(alone.short_requests.waits_ms, 0.99);
        report_table table = blocking_table("blocking: " + mixed.name);
        table.rows.push_back(blocking_row("alone on 2 slots", alone, alone_p99, 0));
        double fifo_p99 = 0;
        for (const named_policy& policy : named_policies())
        {
            if (!is_selected(policy, options))
            {
                continue;
            }
            queue_metrics metrics =
                run_queue_trials(mixed, policy, options.seed, servers);
            if (policy.name == fifo_policy().name)
            {
                fifo_p99 = quantile(metrics.short_requests.waits_ms, 0.99);
            }
            table.rows.push_back(blocking_row(policy.name, metrics, alone_p99, fifo_p99));
        }
        tables.push_back(std::move(table));
    }
    return tables;
}

} // namespace camphorrock
