#include "core/once/testing/once_simulation.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

// Each step of the simulation is decoded from one number of a list that rapidcheck draws.

namespace
{

constexpr unsigned steps = 400;
constexpr unsigned steps_per_id = 20;     // after which a new id comes into use
constexpr unsigned concurrent_ids = 4;    // that a step may choose from
constexpr unsigned steps_per_change = 16; // of a router's retention
constexpr duration long_retention = seconds(3600);
constexpr duration short_retention = seconds(2);
constexpr unsigned last_id = steps / steps_per_id + concurrent_ids;

// Later steps use new ids and retry a few earlier ones.
void apply_step(once_simulation& simulation, unsigned step_number, unsigned draw)
{
    unsigned kind = draw % 64;
    unsigned arg = draw / 64;
    constexpr store_end ends[] = {store_end::failed, store_end::unknown};
    constexpr outcome outcomes[] = {outcome::ran, outcome::not_run, outcome::unknown};
    if (kind < 16)
    {
        duration timeout = milliseconds(arg % 7 == 0 ? 20 : 2000);
        unsigned id = step_number / steps_per_id + (arg / 4) % concurrent_ids;
        simulation.arrive(arg % 4, id, timeout);
    }
    else if (kind < 38)
    {
        simulation.end_call(arg, store_end::done, false);
    }
    else if (kind < 42)
    {
        simulation.end_call(arg / 4, ends[arg % 2], (arg / 2) % 2 == 0);
    }
    else if (kind < 44)
    {
        simulation.apply_late_write(arg);
    }
    else if (kind < 47)
    {
        simulation.execute(arg);
    }
    else if (kind < 52)
    {
        simulation.end_run(arg / 3, outcomes[arg % 3]);
    }
    else if (kind < 60)
    {
        simulation.pass_time(milliseconds(arg % 11 == 0 ? 1000 : 10));
    }
    else if (kind < 62)
    {
        simulation.move_partition(arg % simulation.partition_count,
                                  (arg / 2) % simulation.router_count,
                                  (arg / 8) % 2 == 0);
    }
    else
    {
        simulation.crash(arg % simulation.router_count, (arg / 4) % 2 == 0);
    }
}

void run_simulation(bool keeps_authority, duration retention, bool is_changing = false)
{
    once_simulation simulation(keeps_authority, retention);
    // Draws at the nominal size from the first case on: smaller sizes would draw only
    // small numbers.
    auto draws = *rc::gen::resize(rc::kNominalSize,
                                  rc::gen::container<std::vector<unsigned>>(
                                      steps, rc::gen::inRange<unsigned>(0, 1u << 20)));
    for (unsigned n = 0; n < steps; ++n)
    {
        apply_step(simulation, n, draws[n]);
        if (is_changing && n % steps_per_change == 0)
        {
            unsigned longer = 1 + (draws[n] / simulation.router_count) % 3;
            simulation.change_retention(draws[n] % simulation.router_count,
                                        retention * longer);
        }
    }
    simulation.settle();
    simulation.check_all_answered();
    unsigned before = simulation.executions();
    for (unsigned n = 0; n < 2;
         ++n) // the first may conflict with a crashed router's late write
    {
        simulation.arrive(simulation.router_count, last_id, seconds(10));
        simulation.arrive(simulation.router_count, last_id + 1, seconds(10));
        simulation.settle();
    }
    RC_ASSERT(simulation.executions() == before + 2); // new ids still run
    RC_CLASSIFY(simulation.executions() == 0, "nothing ran");
    RC_CLASSIFY(simulation.executions() >= 10, "ten or more ran");
}

} // namespace

TEST_CASE("an id runs at most once and its answers are correct", "[fuzz]")
{
    rc::prop("when replaced routers stop at once",
             [] { run_simulation(true, long_retention); });
    rc::prop("when a replaced router does not notice it",
             [] { run_simulation(false, long_retention); });
    rc::prop("when journals expire", [] { run_simulation(true, short_retention); });
    rc::prop("when journals expire and a replaced router does not notice it",
             [] { run_simulation(false, short_retention); });
    rc::prop("when the retention changes for each router at a different time",
             [] { run_simulation(true, short_retention, true); });
    rc::prop("when the retention changes and a replaced router does not notice it",
             [] { run_simulation(false, short_retention, true); });
}
