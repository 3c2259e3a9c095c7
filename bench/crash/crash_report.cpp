#include "bench/crash/crash_report.hpp"

#include "core/gateway/retry/testing/crash_simulation.hpp"

#include <algorithm>
#include <string>

namespace camphorrock
{
namespace
{

constexpr unsigned fleet_sizes[] = {10, 69, 195, 540};
constexpr duration run_time = seconds(30);
constexpr unsigned min_servers = 8;
constexpr double good_per_server = 5; // requests a second
constexpr double hot_share = 0.3;     // of the good requests, that are the same one
constexpr double min_bad_rate = 4;    // requests a second, in the whole fleet
constexpr double gateways_per_bad_request = 30; // of a large fleet, each second

struct protection
{
    const char* name;
    bool is_protected;
    bool is_shared;
    double lost_fraction; // of the messages
};

constexpr protection protections[] = {{"none", false, false, 0},
                                      {"each gateway by itself", true, false, 0},
                                      {"the fleet", true, true, 0},
                                      {"the fleet, 5% lost", true, true, 0.05}};

double share_of(unsigned part, unsigned all)
{
    return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

report_row run(const protection& how, testing::crash_simulation_options options)
{
    options.is_protected = how.is_protected;
    options.is_shared = how.is_shared;
    options.lost_fraction = how.lost_fraction;
    testing::crash_simulation it(options);
    it.run(run_time);
    const unsigned sent = it.good().sent + it.hot().sent;
    const unsigned answered = it.good().answered + it.hot().answered;
    const unsigned blamed = it.good().condemned + it.hot().condemned;
    return {how.name,
            {static_cast<double>(it.bad_crashes()),
             static_cast<double>(it.late_bad_crashes()),
             static_cast<double>(blamed),
             share_of(answered, sent),
             static_cast<double>(it.messages()) /
                 std::chrono::duration<double>(run_time).count()}};
}

} // namespace

std::vector<report_table> crash_report(std::uint64_t seed)
{
    std::vector<report_table> made;
    for (const unsigned gateways : fleet_sizes)
    {
        testing::crash_simulation_options options;
        options.gateways = gateways;
        options.servers = std::max(min_servers, gateways);
        options.good_rate = good_per_server * (1 - hot_share) * options.servers;
        options.hot_rate = good_per_server * hot_share * options.servers;
        options.bad_rate = std::max(min_bad_rate, gateways / gateways_per_bad_request);
        options.seed = static_cast<unsigned>(seed);
        report_table& table = made.emplace_back();
        table.title = "a request that crashes servers, " + std::to_string(gateways) +
                      " gateways, " + std::to_string(options.servers) + " servers";
        table.label_name = "stopped by";
        table.columns = {{"crashes", 0},
                         {"3 s after the third", 0},
                         {"good refused for it", 0},
                         {"others served", 3},
                         {"messages/s", 1}};
        for (const protection& it : protections)
        {
            table.rows.push_back(run(it, options));
        }
    }
    return made;
}

} // namespace camphorrock
