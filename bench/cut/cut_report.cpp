#include "bench/cut/cut_report.hpp"

#include "core/gateway/links/testing/link_simulation.hpp"

#include <algorithm>
#include <string>

namespace camphorrock
{
namespace
{

constexpr unsigned fleet_sizes[] = {9, 69, 195, 540};
constexpr double cut_shares[] = {0.125, 0.34, 0.9}; // the first is one data centre of 8
constexpr duration time_before = seconds(1);
constexpr duration time_to_notice = seconds(1);
constexpr duration counted_time = seconds(3);
constexpr duration time_to_return = seconds(3);

struct design
{
    const char* name;
    bool is_forwarding;
    testing::simulated_cut how;
};

constexpr design designs[] = {
    {"refused, hang", false, testing::simulated_cut::hang},
    {"other gateways, hang", true, testing::simulated_cut::hang},
    {"refused, reset", false, testing::simulated_cut::reset},
    {"other gateways, reset", true, testing::simulated_cut::reset}};

double served_share(const testing::link_counts& it)
{
    return it.sent == 0 ? 0 : static_cast<double>(it.served) / it.sent;
}

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

report_row run(const design& of, testing::link_simulation_options options, double share)
{
    options.is_forwarding = of.is_forwarding;
    const auto n = std::max(1U, static_cast<unsigned>(share * options.gateways));
    testing::link_simulation it(options);
    it.run(time_before);
    it.cut(n, of.how);
    it.run(time_to_notice);
    it.count(counted_time);
    const duration added =
        testing::median_latency(it.cut_off()) - testing::median_latency(it.others());
    report_row row{std::to_string(n) + " cut, " + of.name,
                   {served_share(it.cut_off()),
                    served_share(it.others()),
                    it.cut_off().served == 0 ? 0 : to_ms(added),
                    it.most_attempts() / std::max(1.0, it.mean_attempts()),
                    to_ms(it.last_noticed_after()),
                    it.notices() / std::chrono::duration<double>(counted_time).count()}};
    it.heal();
    it.run(time_to_return);
    row.values.push_back(it.lost_now());
    return row;
}

} // namespace

std::vector<report_table> cut_report(std::uint64_t seed)
{
    std::vector<report_table> made;
    for (const unsigned gateways : fleet_sizes)
    {
        testing::link_simulation_options options;
        options.gateways = gateways;
        options.seed = static_cast<unsigned>(seed);
        report_table& table = made.emplace_back();
        table.title = "gateways without a path to the servers, of " +
                      std::to_string(gateways) + ", from 1 s after the cut";
        table.label_name = "cut, and what is done";
        table.columns = {{"served there", 3},
                         {"served elsewhere", 3},
                         {"added ms, median", 1},
                         {"busiest/mean", 2},
                         {"noticed by the last, ms", 0},
                         {"notices/s", 1},
                         {"lost 3 s after", 0}};
        for (const double share : cut_shares)
        {
            for (const design& it : designs)
            {
                table.rows.push_back(run(it, options, share));
            }
        }
    }
    return made;
}

} // namespace camphorrock
