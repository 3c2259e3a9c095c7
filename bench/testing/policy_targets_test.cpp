#include "bench/balance/balance_trial.hpp"
#include "bench/queue/blocking_scenario.hpp"
#include "bench/queue/named_policy.hpp"
#include "bench/queue/queue_trial.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// Servers and seed of the shortened benches. The bounds below are the users' targets.
constexpr std::size_t servers = 3;
constexpr std::uint64_t seed = 1;

const named_policy& current_policy()
{
    return named_policies().back();
}

const queue_scenario& scenario_named(const std::vector<queue_scenario>& from,
                                     const std::string& name)
{
    return *std::find_if(from.begin(),
                         from.end(),
                         [&](const queue_scenario& it) { return it.name == name; });
}

TEST_CASE("Slots do useful work at the crest of a swing")
{
    for (const deployment& of : deployments())
    {
        const std::vector<queue_scenario> all = queue_scenarios(of);
        for (const char* name : {"crest-1.5", "crest-2.0"})
        {
            INFO(of.name << " " << name);
            const queue_scenario& crest = scenario_named(all, name);
            const queue_metrics fifo =
                run_queue_trials(crest, fifo_policy(), seed, servers);
            const queue_metrics own =
                run_queue_trials(crest, current_policy(), seed, servers);
            CHECK(own.useful_share() >= 0.95);
            CHECK(own.within_deadline_share() >= 1.5 * fifo.within_deadline_share());
        }
    }
}

const named_policy& policy_named(const std::string& name)
{
    const std::vector<named_policy>& all = named_policies();
    return *std::find_if(
        all.begin(), all.end(), [&](const named_policy& it) { return it.name == name; });
}

TEST_CASE("A crest is answered nearly as well as by strict priority of short work")
{
    for (const deployment& of : deployments())
    {
        const std::vector<queue_scenario> all = queue_scenarios(of);
        for (const char* name : {"crest-1.5", "crest-2.0"})
        {
            INFO(of.name << " " << name);
            const queue_scenario& crest = scenario_named(all, name);
            const queue_metrics priority =
                run_queue_trials(crest, policy_named("priority"), seed, servers);
            const queue_metrics own =
                run_queue_trials(crest, current_policy(), seed, servers);
            CHECK(own.within_deadline_share() >= 0.92 * priority.within_deadline_share());
        }
    }
}

TEST_CASE("A cold server answers as many as under first in first out, and sheds few")
{
    for (const deployment& of : deployments())
    {
        INFO(of.name);
        const std::vector<queue_scenario> all = queue_scenarios(of);
        const queue_scenario& cold = scenario_named(all, "cold-start");
        const queue_metrics fifo = run_queue_trials(cold, fifo_policy(), seed, servers);
        const queue_metrics own = run_queue_trials(cold, current_policy(), seed, servers);
        CHECK(own.within_deadline_share() >= 0.99 * fifo.within_deadline_share());
        CHECK(20 * own.shed <= fifo.shed);
    }
}

TEST_CASE("Short work does not stall behind long work")
{
    for (const blocking_mix mix :
         {blocking_mix{0.4, 0.2}, blocking_mix{0.6, 0.2}, blocking_mix{0.6, 0.3}})
    {
        INFO(mix.short_share << " short, " << mix.long_share << " long");
        const queue_scenario mixed = blocking_scenario(mix);
        const auto p99 = [&](const queue_scenario& of, const named_policy& policy)
        {
            queue_metrics got = run_queue_trials(of, policy, seed, servers);
            return quantile(got.short_work.waits_ms, 0.99);
        };
        const double own = p99(mixed, current_policy());
        CHECK(own <= 1.1 * p99(without_long(mixed), fifo_policy()));
        CHECK(5 * own <= p99(mixed, fifo_policy()));
    }
}

TEST_CASE("Goodput is back right after a retry storm")
{
    for (const deployment& of : deployments())
    {
        INFO(of.name);
        const std::vector<queue_scenario> all = queue_scenarios(of);
        const queue_metrics own = run_queue_trials(
            scenario_named(all, "retry-storm"), current_policy(), seed, servers);
        const double back = recovery_seconds(own.good_per_second, 5, 30, 90);
        CHECK(back >= 0);
        CHECK(back <= 5);
    }
}

TEST_CASE("Load evens out within a minute, and few keys move")
{
    for (const balance_scenario& it : balance_scenarios(8))
    {
        INFO(it.name);
        const balance_metrics own =
            run_balance_trial(it, named_placements().back(), seed);
        CHECK(own.at_60_s <= 1.2);
        CHECK(own.settled_s >= 0);
        CHECK(own.settled_s <= 60);
        if (it.hot.empty())
        {
            CHECK(own.moved <= 1.1 * own.unavoidable);
            CHECK(own.moved_twice == 0);
        }
    }
}

} // namespace
} // namespace camphorrock
