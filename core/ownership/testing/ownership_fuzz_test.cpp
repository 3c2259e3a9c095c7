#include "core/ownership/testing/ownership_simulation.hpp"
#include "testing/test_headers.hpp"

#include <iostream>

using namespace camphorrock;

namespace
{

enum class fault_kind
{
    wait,
    pause,
    resume,
    crash,
    crash_and_restart,   // of one process, without time in between
    restart_all_routers, // crash and restart of each router
    restart,
    isolate_router,
    isolate,
    reconnect,
    cut,
    network_faults, // message drops, duplicates and delays
    store,          // takes the store down or up
    store_replies,
    drain,
    leave,
    instance_list,
    rebalance,
};

// The kinds to choose from; those of the second loop are four times as frequent.
const std::vector<fault_kind> faults = []
{
    std::vector<fault_kind> list;
    for (int n = 0; n <= static_cast<int>(fault_kind::rebalance); ++n)
    {
        list.push_back(fault_kind(n));
    }
    for (fault_kind it : {fault_kind::crash_and_restart,
                          fault_kind::isolate_router,
                          fault_kind::rebalance})
    {
        list.insert(list.end(), 3, it);
    }
    return list;
}();

// The model of the RapidCheck commands. It has no state, so that every fault can be
// injected at any time.
struct no_model
{
};

struct fuzz_statistics
{
    std::uint64_t steps = 0;
    std::uint64_t events = 0;
    std::chrono::steady_clock::time_point started_at = std::chrono::steady_clock::now();

    ~fuzz_statistics()
    {
        std::chrono::duration<double> span =
            std::chrono::steady_clock::now() - started_at;
        std::cout << "ownership fuzz: " << steps << " steps, " << events << " events, "
                  << std::uint64_t(double(steps) / span.count()) << " steps/s\n";
    }
};

// Injects one fault and runs the simulation for some time.
class fault_command : public rc::state::Command<no_model, ownership_simulation>
{
public:
    explicit fault_command(const no_model&)
        : kind_(*rc::gen::elementOf(faults)), first_argument_(*rc::gen::inRange(0, 64)),
          second_argument_(*rc::gen::inRange(0, 64)),
          run_time_ms_(
              *rc::gen::weightedElement<int>({{6, 5}, {3, 60}, {2, 400}, {1, 1200}}))
    {
    }

    void apply(no_model&) const override {}

    void run(const no_model&, ownership_simulation& simulation) const override
    {
        act(simulation);
        simulation.run(milliseconds(run_time_ms_));
        RC_ASSERT(simulation.violation() == "");
    }

    void show(std::ostream& out) const override
    {
        out << "fault " << int(kind_) << " (" << first_argument_ << ", "
            << second_argument_ << ") " << run_time_ms_ << " ms";
    }

private:
    void act(ownership_simulation& simulation) const
    {
        int process = first_argument_ % simulation.process_count();
        int second = second_argument_ % (simulation.process_count() + 1);
        int routers = simulation.server(0) - simulation.router(0);
        int servers = simulation.store() - simulation.server(0);
        switch (kind_)
        {
        case fault_kind::wait:
            return;
        case fault_kind::pause:
            return simulation.pause(process);
        case fault_kind::resume:
            return simulation.resume(process);
        case fault_kind::crash:
            return simulation.crash(process);
        case fault_kind::crash_and_restart:
            simulation.crash(process);
            return simulation.restart(process);
        case fault_kind::restart_all_routers:
            for (int n = 0; n < routers; ++n)
            {
                simulation.crash(simulation.router(n));
                simulation.restart(simulation.router(n));
            }
            return;
        case fault_kind::isolate_router:
            return simulation.isolate_router(simulation.router(first_argument_ % routers),
                                             second_argument_ % 4 != 0);
        case fault_kind::restart:
            return simulation.restart(process);
        case fault_kind::isolate:
            return simulation.set_isolated(process, true);
        case fault_kind::reconnect:
            return simulation.set_isolated(process, false);
        case fault_kind::cut:
            return simulation.set_link_cut(process, second, second_argument_ % 3 != 0);
        case fault_kind::network_faults:
            simulation.drop_probability = (first_argument_ % 4) * 0.1;
            simulation.duplicate_probability = (first_argument_ / 4 % 4) * 0.2;
            simulation.slow_probability = (second_argument_ % 4) * 0.15;
            return;
        case fault_kind::store:
            simulation.is_store_down = first_argument_ % 3 == 0;
            return;
        case fault_kind::store_replies:
            simulation.lost_store_reply_probability = (first_argument_ % 3) * 0.3;
            return;
        case fault_kind::drain:
            return simulation.set_draining(simulation.server(first_argument_ % servers),
                                           second_argument_ % 2 == 0);
        case fault_kind::leave:
            return simulation.start_leaving(simulation.router(first_argument_ % routers));
        case fault_kind::instance_list:
            return simulation.set_listed_routers(first_argument_);
        case fault_kind::rebalance:
            return rebalance(simulation, servers);
        }
    }

    void rebalance(ownership_simulation& simulation, int servers) const
    {
        if (!simulation.stored() || simulation.stored()->partitions.empty())
        {
            return;
        }
        const auto& partitions = simulation.stored()->partitions;
        hash_range range = partitions[first_argument_ % partitions.size()].range;
        key_hash middle{range.first.value + (range.last.value - range.first.value) / 2};
        server_id to("s" + std::to_string(second_argument_ % servers));
        simulation.submit_plan(
            {{move_step{range, to}, split_step{middle}, merge_step{range.first}},
             "fuzz"});
    }

    fault_kind kind_;
    int first_argument_;
    int second_argument_;
    int run_time_ms_;
};

// Without faults all keys are served within the required 2 s plus the time to elect an
// assigner. If a server does not check epochs, max_request_time is added.
constexpr duration recovery_bound = seconds(2);
constexpr duration election_bound = milliseconds(700);
constexpr duration max_message_delay = seconds(1); // delayed messages arrive after heal()

void check_recovery(ownership_simulation& simulation, const simulation_options& options)
{
    bool is_checked = options.server_checks_epoch ==
                      std::vector<bool>(options.server_checks_epoch.size(), true);
    duration bound = recovery_bound + election_bound;
    bound += is_checked ? duration{} : options.ownership.max_request_time;
    simulation.heal();
    simulation.run(max_message_delay);
    duration span = simulation.run_until_all_served(bound + seconds(10));
    RC_ASSERT(simulation.violation() == "");
    RC_LOG() << simulation.describe();
    RC_ASSERT(span <= bound);
    simulation.run(seconds(1));
    RC_ASSERT(simulation.violation() == "");
}

} // namespace

TEST_CASE("each key has at most one owner under all faults", "[fuzz]")
{
    static fuzz_statistics statistics;
    rc::prop("one owner, increasing versions, and recovery after the faults end",
             []
             {
                 simulation_options options;
                 options.seed = *rc::gen::arbitrary<std::uint32_t>();
                 options.assigners = *rc::gen::inRange(2, 4);
                 options.routers = *rc::gen::inRange(3, 8);
                 options.server_checks_epoch =
                     *rc::gen::element(std::vector<bool>{true, true, true},
                                       std::vector<bool>{true, false, true, true},
                                       std::vector<bool>{false, false, true});
                 options.ownership.clock_drift_ppm = 20000;
                 options.ownership.max_request_time = seconds(1);
                 options.ownership.max_store_read_age = seconds(3);
                 options.assignment.voter_replace_after = milliseconds(600);
                 options.assignment.voters_lost_after = seconds(2);
                 options.assignment.max_voters = 3;
                 ownership_simulation simulation(options);
                 simulation.run(milliseconds(*rc::gen::element(700, 2000)));
                 auto commands = *rc::state::gen::commands(
                     no_model(), rc::state::gen::execOneOfWithArgs<fault_command>());
                 rc::state::runAll(commands, no_model(), simulation);
                 check_recovery(simulation, options);
                 statistics.steps += commands.size();
                 statistics.events += simulation.event_count();
             });
}
