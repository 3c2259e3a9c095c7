#include "core/ownership/testing/ownership_world.hpp"
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
    bounce,     // crash and start at once
    bounce_all, // the routers
    restart,
    strand,
    isolate,
    rejoin,
    cut,
    weather, // drops, duplicates and delays
    store,   // down or up
    store_replies,
    drain,
    leave,
    list,
    rebalance,
};

// How often each comes.
const std::vector<fault_kind> faults = []
{
    std::vector<fault_kind> list;
    for (int n = 0; n <= static_cast<int>(fault_kind::rebalance); ++n)
    {
        list.push_back(fault_kind(n));
    }
    for (fault_kind it : {fault_kind::bounce, fault_kind::strand, fault_kind::rebalance})
    {
        list.insert(list.end(), 3, it);
    }
    return list;
}();

// What the tests know of the world: nothing, so that each fault may come at any time.
struct no_model
{
};

struct fuzz_count
{
    std::uint64_t steps = 0;
    std::uint64_t events = 0;
    std::chrono::steady_clock::time_point begun = std::chrono::steady_clock::now();

    ~fuzz_count()
    {
        std::chrono::duration<double> span = std::chrono::steady_clock::now() - begun;
        std::cout << "ownership fuzz: " << steps << " steps, " << events << " events, "
                  << std::uint64_t(double(steps) / span.count()) << " steps/s\n";
    }
};

// One fault, then some time.
class fault_command : public rc::state::Command<no_model, ownership_world>
{
public:
    explicit fault_command(const no_model&)
        : kind_(*rc::gen::elementOf(faults)), one_(*rc::gen::inRange(0, 64)),
          other_(*rc::gen::inRange(0, 64)),
          span_(*rc::gen::weightedElement<int>({{6, 5}, {3, 60}, {2, 400}, {1, 1200}}))
    {
    }

    void apply(no_model&) const override {}

    void run(const no_model&, ownership_world& world) const override
    {
        act(world);
        world.run(milliseconds(span_));
        RC_ASSERT(world.fault() == "");
    }

    void show(std::ostream& out) const override
    {
        out << "fault " << int(kind_) << " (" << one_ << ", " << other_ << ") " << span_
            << " ms";
    }

private:
    void act(ownership_world& world) const
    {
        int process = one_ % world.process_count();
        int second = other_ % (world.process_count() + 1);
        int routers = world.server(0) - world.router(0);
        int servers = world.store() - world.server(0);
        switch (kind_)
        {
        case fault_kind::wait:
            return;
        case fault_kind::pause:
            return world.pause(process);
        case fault_kind::resume:
            return world.resume(process);
        case fault_kind::crash:
            return world.crash(process);
        case fault_kind::bounce:
            world.crash(process);
            return world.restart(process);
        case fault_kind::bounce_all:
            for (int n = 0; n < routers; ++n)
            {
                world.crash(world.router(n));
                world.restart(world.router(n));
            }
            return;
        case fault_kind::strand:
            return world.strand(world.router(one_ % routers), other_ % 4 != 0);
        case fault_kind::restart:
            return world.restart(process);
        case fault_kind::isolate:
            return world.isolate(process, true);
        case fault_kind::rejoin:
            return world.isolate(process, false);
        case fault_kind::cut:
            return world.cut(process, second, other_ % 3 != 0);
        case fault_kind::weather:
            world.drop = (one_ % 4) * 0.1;
            world.duplicate = (one_ / 4 % 4) * 0.2;
            world.slow = (other_ % 4) * 0.15;
            return;
        case fault_kind::store:
            world.is_store_down = one_ % 3 == 0;
            return;
        case fault_kind::store_replies:
            world.lost_store_replies = (one_ % 3) * 0.3;
            return;
        case fault_kind::drain:
            return world.drain(world.server(one_ % servers), other_ % 2 == 0);
        case fault_kind::leave:
            return world.leave(world.router(one_ % routers));
        case fault_kind::list:
            return world.list_instances(one_);
        case fault_kind::rebalance:
            return rebalance(world, servers);
        }
    }

    void rebalance(ownership_world& world, int servers) const
    {
        if (!world.stored() || world.stored()->partitions.empty())
        {
            return;
        }
        const auto& partitions = world.stored()->partitions;
        hash_range range = partitions[one_ % partitions.size()].range;
        key_hash middle{range.first.value + (range.last.value - range.first.value) / 2};
        server_id to("s" + std::to_string(other_ % servers));
        world.plan({{move_step{range, to}, split_step{middle}, merge_step{range.first}},
                    "fuzz"});
    }

    fault_kind kind_;
    int one_;
    int other_;
    int span_;
};

// In quiet weather all keys are served within the users' 2 s; where a server does not
// check epochs, the longest request comes on top, and the election of an assigner.
constexpr duration served_again = seconds(2);
constexpr duration election = milliseconds(700);
constexpr duration longest_delay = seconds(1); // a message under way is still a fault

void check_recovery(ownership_world& world, const world_options& options)
{
    bool is_checked = options.servers == std::vector<bool>(options.servers.size(), true);
    duration bound = served_again + election;
    bound += is_checked ? duration{} : options.ownership.max_request_time;
    world.heal();
    world.run(longest_delay);
    duration span = world.run_until_served(bound + seconds(10));
    RC_ASSERT(world.fault() == "");
    RC_LOG() << world.describe();
    RC_ASSERT(span <= bound);
    world.run(seconds(1));
    RC_ASSERT(world.fault() == "");
}

} // namespace

TEST_CASE("one owner under every fault", "[fuzz]")
{
    static fuzz_count count;
    rc::prop("one owner, rising versions, and service in quiet weather",
             []
             {
                 world_options options;
                 options.seed = *rc::gen::arbitrary<std::uint32_t>();
                 options.assigners = *rc::gen::inRange(2, 4);
                 options.routers = *rc::gen::inRange(3, 8);
                 options.servers =
                     *rc::gen::element(std::vector<bool>{true, true, true},
                                       std::vector<bool>{true, false, true, true},
                                       std::vector<bool>{false, false, true});
                 options.ownership.clock_drift_ppm = 20000;
                 options.ownership.max_request_time = seconds(1);
                 options.ownership.voter_store_limit = seconds(3);
                 options.assignment.voter_replace_after = milliseconds(600);
                 options.assignment.voters_lost_after = seconds(2);
                 options.assignment.max_voters = 3;
                 ownership_world world(options);
                 world.run(milliseconds(*rc::gen::element(700, 2000)));
                 auto commands = *rc::state::gen::commands(
                     no_model(), rc::state::gen::execOneOfWithArgs<fault_command>());
                 rc::state::runAll(commands, no_model(), world);
                 check_recovery(world, options);
                 count.steps += commands.size();
                 count.events += world.events();
             });
}
