#include "core/ownership/testing/ownership_simulation.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

// The required bound for a key to be served again after the loss of a process.
constexpr duration recovery_bound = seconds(2);
constexpr duration max_request_time = seconds(1);

simulation_options options_of(std::vector<bool> servers)
{
    simulation_options options;
    options.server_checks_epoch = std::move(servers);
    options.ownership.max_request_time = max_request_time;
    return options;
}

// Runs the simulation for two bounds plus 2 s, prints for how long some key was not
// served and checks that it is at most `bound`.
void check_served(ownership_simulation& simulation,
                  const char* what,
                  duration bound = recovery_bound)
{
    duration span = simulation.unserved_within(2 * bound + seconds(2));
    WARN(what << ": " << span / milliseconds(1) << " ms not served");
    CHECK(span <= bound);
    CHECK(simulation.violation() == "");
}

} // namespace

TEST_CASE("keys are served again within the bound after a failure", "[ownership]")
{
    ownership_simulation simulation(options_of({true, true, true, true}));
    simulation.run_until_all_served(seconds(3));
    REQUIRE(simulation.is_all_served());
    simulation.run(seconds(10));
    REQUIRE(simulation.is_all_served());
    int owner = simulation.owner_of(0);
    int scheduler = simulation.scheduler_of(0);

    SECTION("a server is killed")
    {
        simulation.crash(owner);
        check_served(simulation, "server killed");
        CHECK(simulation.owner_of(0) != owner);

        SECTION("and restarts: it owns keys again")
        {
            simulation.restart(owner);
            simulation.run(seconds(5));
            check_served(simulation, "server restarted", duration{});
            bool owns = false;
            for (std::size_t hash = 0; hash < 8; ++hash)
            {
                owns = owns || simulation.owner_of(hash) == owner;
            }
            CHECK(owns);
        }
    }

    SECTION("a server is frozen and resumes with an outdated view of its keys (case 4)")
    {
        simulation.pause(owner);
        check_served(simulation, "server frozen");
        int next = simulation.owner_of(0);
        CHECK(next != owner);
        simulation.resume(owner);
        simulation.run(milliseconds(1));
        CHECK(simulation.violation() == "");
        simulation.run(seconds(3));
        check_served(simulation, "server resumed", duration{});
    }

    SECTION(
        "a server is frozen while its router is isolated but still reaches it (case 4)")
    {
        simulation.pause(owner);
        simulation.set_isolated(scheduler, true);
        simulation.set_link_cut(scheduler, owner, false);
        simulation.set_link_cut(owner, scheduler, false);
        simulation.run(milliseconds(1500));
        simulation.resume(owner);
        check_served(simulation, "server frozen, router isolated");
    }

    SECTION("a router is killed")
    {
        simulation.crash(scheduler);
        check_served(simulation, "router killed");
    }

    SECTION("the elected assigner is paused past its lease and resumes during a failover "
            "(case 2)")
    {
        simulation.pause(simulation.assigner(0));
        simulation.pause(simulation.assigner(1));
        simulation.crash(owner);
        simulation.run(milliseconds(300));
        simulation.resume(simulation.assigner(0));
        check_served(
            simulation, "assigner paused, server killed", recovery_bound + seconds(1));
        simulation.resume(simulation.assigner(1));
        simulation.run(seconds(3));
        check_served(simulation, "second assigner resumed", duration{});
    }

    SECTION("the assigners and a server are killed: a restarted assigner counts earlier "
            "fences")
    {
        simulation.crash(simulation.assigner(0));
        simulation.crash(simulation.assigner(1));
        simulation.crash(owner);
        simulation.run(milliseconds(900));
        simulation.restart(simulation.assigner(0));
        check_served(simulation,
                     "assigner restarted 900 ms after a server's loss",
                     milliseconds(300));
    }

    SECTION("an assigner is killed: all keys stay served")
    {
        simulation.crash(simulation.elected() ? simulation.assigner(0)
                                              : simulation.assigner(1));
        check_served(simulation, "assigner killed", duration{});
        simulation.run(seconds(2));
        check_served(simulation, "2 s later", duration{});
    }

    SECTION("a data centre is isolated")
    {
        for (int n = 0; n < simulation.process_count(); ++n)
        {
            bool is_in_data_centre = n < simulation.router(0) ? n == 1
                                     : n < simulation.server(0)
                                         ? (n - simulation.router(0)) % 2 == 1
                                         : (n - simulation.server(0)) % 2 == 1;
            if (is_in_data_centre)
            {
                simulation.set_isolated(n, true);
            }
        }
        check_served(simulation, "data centre isolated");
    }

    SECTION("one assigner reaches only the store and one router (case 3)")
    {
        simulation.set_isolated(simulation.assigner(0), true);
        simulation.set_link_cut(simulation.assigner(0), simulation.store(), false);
        simulation.set_link_cut(simulation.store(), simulation.assigner(0), false);
        simulation.set_link_cut(simulation.assigner(0), scheduler, false);
        simulation.set_link_cut(scheduler, simulation.assigner(0), false);
        simulation.run(seconds(2));
        simulation.crash(owner);
        check_served(
            simulation, "one assigner without majority, server killed", recovery_bound);
    }

    SECTION("the store is down: keys stay served; a lost server is replaced afterwards")
    {
        simulation.is_store_down = true;
        simulation.run(seconds(60));
        check_served(simulation, "store down for 60 s", duration{});
        simulation.crash(owner);
        simulation.run(seconds(3));
        CHECK_FALSE(simulation.is_all_served());
        simulation.is_store_down = false;
        check_served(simulation,
                     "store up again, server lost before",
                     recovery_bound + seconds(1));
    }

    SECTION("replies of the store are lost after its writes took effect (case 1)")
    {
        simulation.lost_store_reply_probability = 0.5;
        simulation.crash(owner);
        simulation.run(seconds(20));
        simulation.lost_store_reply_probability = 0;
        check_served(simulation, "lost replies", recovery_bound);
    }

    SECTION(
        "messages are delayed, duplicated and reordered while partitions move (case 6)")
    {
        simulation.duplicate_probability = 0.3;
        simulation.slow_probability = 0.3;
        for (int n = 0; n < 20; ++n)
        {
            simulation.set_draining(owner, n % 2 == 0);
            simulation.run(seconds(1));
        }
        simulation.duplicate_probability = simulation.slow_probability = 0;
        check_served(simulation, "reordering ended");
    }

    SECTION("the instance list is empty: the record does not change (case 16)")
    {
        epoch before = simulation.stored()->version;
        simulation.set_listed_routers(0);
        simulation.run(seconds(10));
        check_served(simulation, "empty instance list", duration{});
        for (const assignment_change& it : simulation.elected()->changes())
        {
            UNSCOPED_INFO(it.version.value << " " << name_of(it.kind) << " "
                                           << it.reason);
        }
        CHECK(simulation.stored()->version.value == before.value);
    }

    SECTION("a planned move of the partition of one key")
    {
        std::vector<hash_range> ranges;
        hash_range whole = find_partition(*simulation.stored(), {12345})->range;
        server_id to(owner == simulation.server(0) ? "s1" : "s0");
        simulation.submit_plan({{split_step{{12345}}, split_step{{12346}}}, "hot key"});
        simulation.run(seconds(1));
        simulation.submit_plan({{move_step{{{12345}, {12345}}, to}}, "hot key"});
        check_served(simulation, "planned move", milliseconds(100));
        CHECK(simulation.owner_of(0) != owner);
        simulation.submit_plan({{merge_step{{12345}}, merge_step{{12346}}}, "cooled"});
        simulation.run(seconds(2));
        check_served(simulation, "merged", duration{});
        CHECK(simulation.violation() == "");
        CHECK(whole.contains({12345}));
    }

    SECTION("a partition moves back right after a move")
    {
        hash_range range = find_partition(*simulation.stored(), {12345})->range;
        server_id original_owner = find_partition(*simulation.stored(), {12345})->owner;
        server_id other_server(owner == simulation.server(0) ? "s1" : "s0");
        simulation.submit_plan({{move_step{range, other_server}}, "there"});
        duration span = simulation.unserved_within(milliseconds(100));
        REQUIRE(simulation.owner_of(0) != owner);
        simulation.submit_plan({{move_step{range, original_owner}}, "and back"});
        check_served(simulation, "moved back", milliseconds(100));
        CHECK(span <= milliseconds(100));
        CHECK(simulation.owner_of(0) == owner);
    }

    SECTION("a router leaves: other routers schedule its servers")
    {
        simulation.start_leaving(scheduler);
        check_served(simulation, "router leaving", milliseconds(100));
        CHECK(simulation.scheduler_of(0) != scheduler);
    }
}

TEST_CASE("keys of a server that does not check epochs never have two owners (case 5)",
          "[ownership]")
{
    ownership_simulation simulation(options_of({false, false, true}));
    simulation.run_until_all_served(seconds(3));
    REQUIRE(simulation.is_all_served());
    simulation.run(seconds(10));
    int owner = simulation.server(0);
    std::size_t hash = 0;
    while (simulation.owner_of(hash) != owner)
    {
        ++hash;
    }
    int scheduler = simulation.scheduler_of(hash);

    SECTION("it is frozen while its router is isolated but still reaches it")
    {
        simulation.pause(owner);
        simulation.set_isolated(scheduler, true);
        simulation.set_link_cut(scheduler, owner, false);
        simulation.set_link_cut(owner, scheduler, false);
        simulation.run(milliseconds(700));
        simulation.resume(owner);
        check_served(simulation,
                     "server without epoch checks, router isolated",
                     recovery_bound + max_request_time);
    }

    SECTION("its router is killed: the next router waits for max_request_time")
    {
        simulation.crash(scheduler);
        simulation.run(milliseconds(1));
        duration span = simulation.run_until_all_served(seconds(10));
        WARN("server without epoch checks, router killed: served after "
             << span.count() / 1000 << " ms");
        CHECK(span >= max_request_time);
        CHECK(span <= recovery_bound + max_request_time);
        CHECK(simulation.violation() == "");
    }
}

TEST_CASE("keys are served again after the loss of voters", "[ownership]")
{
    simulation_options options = options_of({true, true, true});
    options.routers = 7;
    options.assignment.max_voters = 3;
    options.assignment.voters_lost_after = seconds(5);
    options.ownership.max_store_read_age = seconds(4);
    ownership_simulation simulation(options);
    simulation.run(seconds(5));
    std::vector<voter_entry> voters = simulation.stored()->voters;
    REQUIRE(voters.size() == 3);
    auto crash_voter = [&](std::size_t n)
    {
        simulation.crash(simulation.router(std::stoi(voters[n].id.str().substr(1))));
    };

    SECTION("one voter is lost: it is replaced")
    {
        crash_voter(0);
        check_served(simulation, "a voter lost");
        simulation.run(seconds(8));
        CHECK(simulation.stored()->voters != voters);
        CHECK(simulation.stored()->previous_voters.empty());
        check_served(simulation, "voter replaced", duration{});
    }

    SECTION("all voters are lost: keys are served once no lost voter can grant a vote")
    {
        crash_voter(0);
        crash_voter(1);
        crash_voter(2);
        simulation.run(seconds(4));
        CHECK_FALSE(simulation.is_all_served());
        check_served(simulation, "all voters lost, 4 s ago", seconds(30));
    }
}

TEST_CASE("no key has two owners after restarts lose state", "[ownership]")
{
    simulation_options options = options_of({true, true, true});
    options.routers = 7;
    options.assignment.max_voters = 3;
    options.assignment.voters_lost_after = seconds(5);
    options.ownership.max_store_read_age = seconds(40);
    ownership_simulation simulation(options);
    simulation.run(seconds(5));
    int owner = simulation.owner_of(0);
    int scheduler = simulation.scheduler_of(0);
    auto each_voter = [&](const std::function<void(int)>& act)
    {
        for (const voter_entry& it : simulation.stored()->voters)
        {
            int n = simulation.router(std::stoi(it.id.str().substr(1)));
            n == scheduler ? void() : act(n);
        }
    };

    SECTION("voters and a server restart in a store outage; one router has an old record")
    {
        simulation.isolate_router(scheduler, true);
        simulation.run(seconds(2));
        REQUIRE(simulation.scheduler_of(0) != scheduler);
        simulation.set_draining(owner, true);
        simulation.run(seconds(2));
        REQUIRE(simulation.owner_of(0) != owner);
        simulation.is_store_down = true;
        simulation.crash(simulation.assigner(0));
        simulation.crash(simulation.assigner(1));
        simulation.crash(owner);
        simulation.restart(owner);
        each_voter(
            [&](int n)
            {
                simulation.crash(n);
                simulation.restart(n);
            });
        simulation.run(seconds(5));
        CHECK(simulation.violation() == "");
        simulation.heal();
        simulation.run(seconds(3));
        CHECK(simulation.is_all_served());
    }

    SECTION("the assigners lose most voters, which a router with an old record still "
            "reaches")
    {
        shard_record before = *simulation.stored();
        simulation.set_isolated(owner, true);
        simulation.isolate_router(scheduler, true);
        each_voter(
            [&](int n)
            {
                simulation.isolate_router(n, true);
                simulation.set_link_cut(n, owner, true);
                simulation.set_link_cut(owner, n, true);
            });
        simulation.run(seconds(100));
        CHECK(simulation.violation() == "");
        CHECK(simulation.stored()->voters != before.voters);
        CHECK(simulation.stored()->previous_voters.empty());
        simulation.heal();
        simulation.run(seconds(3));
        CHECK(simulation.is_all_served());
    }
}
