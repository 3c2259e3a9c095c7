#include "core/once/testing/once_world.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

// Draws one step after the other from a list of numbers, which rapidcheck can shorten.

namespace
{

constexpr unsigned steps = 400;
constexpr unsigned steps_per_id = 20;
constexpr unsigned live_ids = 4;
constexpr unsigned steps_per_change = 16;
constexpr duration long_retention = seconds(3600);
constexpr duration short_retention = seconds(2);
constexpr unsigned last_id = steps / steps_per_id + live_ids;

// `at` is the number of the step: new ids come as time goes on, with retries of a few
// earlier ones.
void take_step(once_world& world, unsigned at, unsigned draw)
{
    unsigned kind = draw % 64;
    unsigned arg = draw / 64;
    constexpr store_end ends[] = {store_end::failed, store_end::unknown};
    constexpr outcome outcomes[] = {outcome::ran, outcome::not_run, outcome::unknown};
    if (kind < 16)
    {
        duration patience = milliseconds(arg % 7 == 0 ? 20 : 2000);
        unsigned id = at / steps_per_id + (arg / 4) % live_ids;
        world.arrive(arg % 4, id, patience);
    }
    else if (kind < 38)
    {
        world.end_call(arg, store_end::done, false);
    }
    else if (kind < 42)
    {
        world.end_call(arg / 4, ends[arg % 2], (arg / 2) % 2 == 0);
    }
    else if (kind < 44)
    {
        world.land(arg);
    }
    else if (kind < 47)
    {
        world.execute(arg);
    }
    else if (kind < 52)
    {
        world.end_run(arg / 3, outcomes[arg % 3]);
    }
    else if (kind < 60)
    {
        world.pass_time(milliseconds(arg % 11 == 0 ? 1000 : 10));
    }
    else if (kind < 62)
    {
        world.move(arg % world.partitions, (arg / 2) % world.routers, (arg / 8) % 2 == 0);
    }
    else
    {
        world.crash(arg % world.routers, (arg / 4) % 2 == 0);
    }
}

void run_world(bool keeps_authority, duration retention, bool is_changing = false)
{
    once_world world(keeps_authority, retention);
    // At the nominal size from the first case on; small sizes would draw small numbers.
    auto draws = *rc::gen::resize(rc::kNominalSize,
                                  rc::gen::container<std::vector<unsigned>>(
                                      steps, rc::gen::inRange<unsigned>(0, 1u << 20)));
    for (unsigned n = 0; n < steps; ++n)
    {
        take_step(world, n, draws[n]);
        if (is_changing && n % steps_per_change == 0)
        {
            unsigned longer = 1 + (draws[n] / world.routers) % 3;
            world.change_retention(draws[n] % world.routers, retention * longer);
        }
    }
    world.settle();
    world.check_all_answered();
    unsigned before = world.executions();
    for (unsigned n = 0; n < 2; ++n) // the first may meet a late write of a lost process
    {
        world.arrive(world.routers, last_id, seconds(10));
        world.arrive(world.routers, last_id + 1, seconds(10));
        world.settle();
    }
    RC_ASSERT(world.executions() == before + 2); // the service goes on
    RC_CLASSIFY(world.executions() == 0, "nothing ran");
    RC_CLASSIFY(world.executions() >= 10, "ten or more ran");
}

} // namespace

TEST_CASE("an id runs at most once and no answer is a lie", "[fuzz]")
{
    rc::prop("while routers give up what they lose",
             [] { run_world(true, long_retention); });
    rc::prop("also where a replaced router does not notice",
             [] { run_world(false, long_retention); });
    rc::prop("also while journals lapse", [] { run_world(true, short_retention); });
    rc::prop("also where both are so", [] { run_world(false, short_retention); });
    rc::prop("also while the retention changes, for each router at its own time",
             [] { run_world(true, short_retention, true); });
    rc::prop("also where it does and a replaced router does not notice",
             [] { run_world(false, short_retention, true); });
}
