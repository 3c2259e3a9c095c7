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

// Simulated servers and seed of the shortened benchmarks. The bounds in the checks are
// the targets that the users set.
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

TEST_CASE("Slots do useful work at a load peak, and goodput is 1.5 times that of fifo")
{
    for (const deployment& target : deployments())
    {
        const std::vector<queue_scenario> all = queue_scenarios(target);
        for (const char* name : {"crest-1.5", "crest-2.0"})
        {
            INFO(target.name << " " << name);
            const queue_scenario& peak = scenario_named(all, name);
            const queue_metrics fifo =
                run_queue_trials(peak, fifo_policy(), seed, servers);
            const queue_metrics current =
                run_queue_trials(peak, current_policy(), seed, servers);
            CHECK(current.useful_slot_time_share() >= 0.95);
            CHECK(current.within_deadline_share() >= 1.5 * fifo.within_deadline_share());
        }
    }
}

const named_policy& policy_named(const std::string& name)
{
    const std::vector<named_policy>& all = named_policies();
    return *std::find_if(
        all.begin(), all.end(), [&](const named_policy& it) { return it.name == name; });
}

TEST_CASE("Goodput at a load peak is at least 92% of that of strict priority")
{
    for (const deployment& target : deployments())
    {
        const std::vector<queue_scenario> all = queue_scenarios(target);
        for (const char* name : {"crest-1.5", "crest-2.0"})
        {
            INFO(target.name << " " << name);
            const queue_scenario& peak = scenario_named(all, name);
            const queue_metrics priority =
                run_queue_trials(peak, policy_named("priority"), seed, servers);
            const queue_metrics current =
                run_queue_trials(peak, current_policy(), seed, servers);
            CHECK(current.within_deadline_share() >=
                  0.92 * priority.within_deadline_share());
        }
    }
}

TEST_CASE("A cold server answers as many requests as with fifo and sheds far fewer")
{
    for (const deployment& target : deployments())
    {
        INFO(target.name);
        const std::vector<queue_scenario> all = queue_scenarios(target);
        const queue_scenario& cold = scenario_named(all, "cold-start");
        const queue_metrics fifo = run_queue_trials(cold, fifo_policy(), seed, servers);
        const queue_metrics current =
            run_queue_trials(cold, current_policy(), seed, servers);
        CHECK(current.within_deadline_share() >= 0.99 * fifo.within_deadline_share());
        CHECK(20 * current.shed <= fifo.shed);
    }
}

TEST_CASE("Short requests wait about as long with long requests as without them")
{
    for (const blocking_mix mix :
         {blocking_mix{0.4, 0.2}, blocking_mix{0.6, 0.2}, blocking_mix{0.6, 0.3}})
    {
        INFO(mix.short_share << " short, " << mix.long_share << " long");
        const queue_scenario mixed = blocking_scenario(mix);
        const auto p99 = [&](const queue_scenario& target, const named_policy& policy)
        {
            queue_metrics metrics = run_queue_trials(target, policy, seed, servers);
            return quantile(metrics.short_requests.waits_ms, 0.99);
        };
        const double current = p99(mixed, current_policy());
        CHECK(current <= 1.1 * p99(without_long_requests(mixed), fifo_policy()));
        CHECK(5 * current <= p99(mixed, fifo_policy()));
    }
}

TEST_CASE("Goodput recovers within 5 s after a retry storm")
{
    for (const deployment& target : deployments())
    {
        INFO(target.name);
        const std::vector<queue_scenario> all = queue_scenarios(target);
        const queue_metrics current = run_queue_trials(
            scenario_named(all, "retry-storm"), current_policy(), seed, servers);
        // The storm lasts from 30 s to 90 s, after a warm-up of 5 s.
        const double recovery_s = recovery_seconds(current.goodput_per_second, 5, 30, 90);
        CHECK(recovery_s >= 0);
        CHECK(recovery_s <= 5);
    }
}

TEST_CASE("After each event the imbalance settles within a minute and few keys move")
{
    for (const balance_scenario& it : balance_scenarios(8))
    {
        INFO(it.name);
        const balance_metrics current =
            run_balance_trial(it, named_placements().back(), seed);
        CHECK(current.imbalance_at_60_s <= 1.2);
        CHECK(current.settling_time_s >= 0);
        CHECK(current.settling_time_s <= 60);
        if (it.hot_key_changes.empty())
        {
            CHECK(current.moved_keys <= 1.1 * current.unavoidable_moved_keys);
            CHECK(current.keys_moved_twice == 0);
        }
    }
}

} // namespace
} // namespace camphorrock
