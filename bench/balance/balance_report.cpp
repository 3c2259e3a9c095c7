#include "bench/balance/balance_report.hpp"

#include "bench/balance/balance_trial.hpp"

namespace camphorrock
{
namespace
{

// Numbers of servers of the services in both deployments.
constexpr std::size_t service_sizes[] = {8, 9, 10, 11};

report_table empty_table(const std::string& title)
{
    return {title,
            "placement",
            {{"before", 2},
             {"worst", 2},
             {"settled s", 1},
             {"at 60 s", 2},
             {"optimum", 2},
             {"moved", 0},
             {"unavoidable", 0},
             {"burst", 0},
             {"twice", 0},
             {"keys/point", 1},
             {"warm-up moved", 0}},
            {}};
}

report_row to_row(const std::string& name, const balance_metrics& metrics)
{
    return {name,
            {metrics.imbalance_before,
             metrics.worst_imbalance,
             metrics.settling_time_s,
             metrics.imbalance_at_60_s,
             metrics.imbalance_lower_bound,
             metrics.moved_keys,
             metrics.unavoidable_moved_keys,
             metrics.max_moved_keys_per_step,
             metrics.keys_moved_twice,
             metrics.moved_keys_per_point,
             metrics.warm_up_moved_keys}};
}

} // namespace

std::vector<report_table> balance_report(std::uint64_t seed)
{
    std::vector<report_table> tables;
    for (const std::size_t servers : service_sizes)
    {
        for (const balance_scenario& scenario : balance_scenarios(servers))
        {
            report_table table = empty_table("balance, " + std::to_string(servers) +
                                             " servers: " + scenario.name);
            for (const named_placement& placement : named_placements())
            {
                table.rows.push_back(
                    to_row(placement.name, run_balance_trial(scenario, placement, seed)));
            }
            tables.push_back(std::move(table));
        }
    }
    return tables;
}

} // namespace camphorrock
