#include "bench/limit/limit_report.hpp"

#include "bench/limit/limit_policy.hpp"
#include "core/base/busiest_window.hpp"
#include "core/gateway/limits/testing/limit_simulation.hpp"

#include <algorithm>
#include <random>
#include <string>

namespace camphorrock
{
namespace
{

constexpr unsigned fleet_sizes[] = {10, 69, 195, 540};
constexpr double lost_fractions[] = {0, 0.05};
constexpr duration run_time = seconds(120);
constexpr duration start_time = seconds(4); // not measured
constexpr duration window = seconds(4);

// How the demand is spread over the fleet.
struct demand_shape
{
    const char* name;
    double first_share; // of the requests, that reach the first gateway
};

constexpr demand_shape shapes[] = {{"even", 0}, {"skewed", 0.8}, {"one", 1}};

struct limit_figures
{
    std::vector<time_point> arrivals;
    double wait_ms = 0; // mean, of the requests that arrived
    double messages_per_second = 0;
};

limit_figures run_tokens(const testing::limit_simulation_options& options)
{
    testing::limit_simulation simulation(options);
    simulation.run(run_time);
    return {simulation.arrivals(),
            simulation.mean_wait_ms(),
            simulation.messages_per_second()};
}

limit_figures run_policy(limit_policy& policy,
                         const testing::limit_simulation_options& options)
{
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> pause(options.demand);
    std::bernoulli_distribution is_first(options.first_share);
    std::uniform_int_distribution<unsigned> other(1, options.gateways - 1);
    limit_figures made;
    const time_point start{seconds(1000)};
    duration waits{};
    time_point now = start;
    while (now < start + run_time)
    {
        now += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(pause(random)));
        const unsigned gateway = is_first(random) ? 0 : other(random);
        const token_decision got = policy.request(gateway, now);
        if (got.is_granted)
        {
            waits += got.wait;
            made.arrivals.push_back(now + got.wait);
        }
    }
    std::sort(made.arrivals.begin(), made.arrivals.end());
    const auto n = static_cast<double>(std::max<std::size_t>(made.arrivals.size(), 1));
    made.wait_ms = std::chrono::duration<double, std::milli>(waits).count() / n;
    return made;
}

report_row make_row(const std::string& label,
                    const limit_figures& got,
                    const testing::limit_simulation_options& options)
{
    const time_point from = time_point{seconds(1000)} + start_time;
    const double measured_seconds =
        std::chrono::duration<double>(run_time - start_time).count();
    const double allowed =
        1.15 * options.limit * std::chrono::duration<double>(window).count() + 2;
    const auto arrived = std::count_if(got.arrivals.begin(),
                                       got.arrivals.end(),
                                       [&](time_point it) { return it >= from; });
    return {label,
            {static_cast<double>(busiest_window(got.arrivals, window, from)) / allowed,
             static_cast<double>(arrived) / (options.limit * measured_seconds),
             got.wait_ms,
             got.messages_per_second}};
}

void add_rows(report_table& table,
              const demand_shape& shape,
              const testing::limit_simulation_options& options)
{
    const limit_policy_options policy{options.gateways, options.limit, options.max_wait};
    const std::string suffix = std::string(", ") + shape.name;
    table.rows.push_back(make_row(
        "equal split" + suffix, run_policy(*make_equal_split(policy), options), options));
    table.rows.push_back(make_row("demand split" + suffix,
                                  run_policy(*make_demand_split(policy), options),
                                  options));
    for (const double lost : lost_fractions)
    {
        testing::limit_simulation_options lossy = options;
        lossy.lost_fraction = lost;
        const std::string label = lost > 0 ? "tokens, 5% lost" : "tokens";
        table.rows.push_back(make_row(label + suffix, run_tokens(lossy), options));
    }
    table.rows.push_back(make_row("central bucket" + suffix,
                                  run_policy(*make_central_bucket(policy), options),
                                  options));
}

} // namespace

std::vector<report_table> limit_report(std::uint64_t seed)
{
    std::vector<report_table> made;
    for (const unsigned gateways : fleet_sizes)
    {
        testing::limit_simulation_options options;
        options.gateways = gateways;
        options.seed = static_cast<unsigned>(seed);
        report_table& table = made.emplace_back();
        table.title = "rate limit of 3.1 a second, demand of 15, " +
                      std::to_string(gateways) + " gateways";
        table.label_name = "policy, demand";
        table.columns = {
            {"worst 4 s / allowed", 2}, {"used", 2}, {"wait ms", 0}, {"messages/s", 1}};
        for (const demand_shape& shape : shapes)
        {
            options.first_share = shape.first_share;
            add_rows(table, shape, options);
        }
    }
    return made;
}

} // namespace camphorrock
