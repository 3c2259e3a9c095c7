#include "core/ownership/testing/ownership_world.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

// The users' bound for a key to be served again after a loss.
constexpr duration served_again = seconds(2);
constexpr duration max_request_time = seconds(1);

world_options options_of(std::vector<bool> servers)
{
    world_options options;
    options.servers = std::move(servers);
    options.ownership.max_request_time = max_request_time;
    return options;
}

// Watches for a while, prints for how long some key was not served and checks it.
void check_served(ownership_world& world, const char* what, duration bound = served_again)
{
    duration span = world.unserved_within(2 * bound + seconds(2));
    WARN(what << ": " << span / milliseconds(1) << " ms not served");
    CHECK(span <= bound);
    CHECK(world.fault() == "");
}

} // namespace

TEST_CASE("keys are served again soon after a loss", "[ownership]")
{
    ownership_world world(options_of({true, true, true, true}));
    world.run_until_served(seconds(3));
    REQUIRE(world.is_all_served());
    world.run(seconds(10));
    REQUIRE(world.is_all_served());
    int owner = world.owner_of(0);
    int scheduler = world.scheduler_of(0);

    SECTION("a server is killed")
    {
        world.crash(owner);
        check_served(world, "server killed");
        CHECK(world.owner_of(0) != owner);

        SECTION("and comes back: it takes its part again")
        {
            world.restart(owner);
            world.run(seconds(5));
            check_served(world, "server back", duration{});
            bool owns = false;
            for (std::size_t hash = 0; hash < 8; ++hash)
            {
                owns = owns || world.owner_of(hash) == owner;
            }
            CHECK(owns);
        }
    }

    SECTION("a server is frozen and returns, believing that it owns keys (case 4)")
    {
        world.pause(owner);
        check_served(world, "server frozen");
        int next = world.owner_of(0);
        CHECK(next != owner);
        world.resume(owner);
        world.run(milliseconds(1));
        CHECK(world.fault() == "");
        world.run(seconds(3));
        check_served(world, "server returned", duration{});
    }

    SECTION(
        "a server is frozen while its router is cut off and still sends to it (case 4)")
    {
        world.pause(owner);
        world.isolate(scheduler, true);
        world.cut(scheduler, owner, false);
        world.cut(owner, scheduler, false);
        world.run(milliseconds(1500));
        world.resume(owner);
        check_served(world, "server frozen, router cut off");
    }

    SECTION("a router is killed")
    {
        world.crash(scheduler);
        check_served(world, "router killed");
    }

    SECTION("the elected assigner is paused past its lease and resumes in the middle "
            "(case 2)")
    {
        world.pause(world.assigner(0));
        world.pause(world.assigner(1));
        world.crash(owner);
        world.run(milliseconds(300));
        world.resume(world.assigner(0));
        check_served(world, "assigner paused, server killed", served_again + seconds(1));
        world.resume(world.assigner(1));
        world.run(seconds(3));
        check_served(world, "the other resumed", duration{});
    }

    SECTION(
        "the assigner and a server are killed: what the one had fenced counts for the "
        "next")
    {
        world.crash(world.assigner(0));
        world.crash(world.assigner(1));
        world.crash(owner);
        world.run(milliseconds(900));
        world.restart(world.assigner(0));
        check_served(
            world, "assigner back 900 ms after a server's loss", milliseconds(300));
    }

    SECTION("the assigner is killed: nobody notices")
    {
        world.crash(world.elected() ? world.assigner(0) : world.assigner(1));
        check_served(world, "assigner killed", duration{});
        world.run(seconds(2));
        check_served(world, "2 s later", duration{});
    }

    SECTION("a data centre is cut off")
    {
        for (int n = 0; n < world.process_count(); ++n)
        {
            bool is_there = n < world.router(0)   ? n == 1
                            : n < world.server(0) ? (n - world.router(0)) % 2 == 1
                                                  : (n - world.server(0)) % 2 == 1;
            if (is_there)
            {
                world.isolate(n, true);
            }
        }
        check_served(world, "data centre cut off");
    }

    SECTION(
        "two assigners are cut off from each other, a server is reached by one (case 3)")
    {
        world.isolate(world.assigner(0), true);
        world.cut(world.assigner(0), world.store(), false);
        world.cut(world.store(), world.assigner(0), false);
        world.cut(world.assigner(0), scheduler, false);
        world.cut(scheduler, world.assigner(0), false);
        world.run(seconds(2));
        world.crash(owner);
        check_served(world, "one assigner without majority, server killed", served_again);
    }

    SECTION("the store is down: all goes on, and a lost server waits for it")
    {
        world.is_store_down = true;
        world.run(seconds(60));
        check_served(world, "store down for 60 s", duration{});
        world.crash(owner);
        world.run(seconds(3));
        CHECK_FALSE(world.is_all_served());
        world.is_store_down = false;
        check_served(world, "store back, server lost before", served_again + seconds(1));
    }

    SECTION("replies of the store are lost after the write took effect (case 1)")
    {
        world.lost_store_replies = 0.5;
        world.crash(owner);
        world.run(seconds(20));
        world.lost_store_replies = 0;
        check_served(world, "lost replies", served_again);
    }

    SECTION(
        "messages are delayed, duplicated and reordered while partitions move (case 6)")
    {
        world.duplicate = 0.3;
        world.slow = 0.3;
        for (int n = 0; n < 20; ++n)
        {
            world.drain(owner, n % 2 == 0);
            world.run(seconds(1));
        }
        world.duplicate = world.slow = 0;
        check_served(world, "reordering ended");
    }

    SECTION("the instance list shows nobody (case 16)")
    {
        epoch before = world.stored()->version;
        world.list_instances(0);
        world.run(seconds(10));
        check_served(world, "empty instance list", duration{});
        for (const assignment_change& it : world.elected()->changes())
        {
            UNSCOPED_INFO(it.version.value << " " << name_of(it.kind) << " "
                                           << it.reason);
        }
        CHECK(world.stored()->version.value == before.value);
    }

    SECTION("a planned move of one key's partition")
    {
        std::vector<hash_range> ranges;
        hash_range whole = find_partition(*world.stored(), {12345})->range;
        server_id to(owner == world.server(0) ? "s1" : "s0");
        world.plan({{split_step{{12345}}, split_step{{12346}}}, "hot key"});
        world.run(seconds(1));
        world.plan({{move_step{{{12345}, {12345}}, to}}, "hot key"});
        check_served(world, "planned move", milliseconds(100));
        CHECK(world.owner_of(0) != owner);
        world.plan({{merge_step{{12345}}, merge_step{{12346}}}, "cooled"});
        world.run(seconds(2));
        check_served(world, "merged", duration{});
        CHECK(world.fault() == "");
        CHECK(whole.contains({12345}));
    }

    SECTION("a partition that has just moved moves back")
    {
        hash_range range = find_partition(*world.stored(), {12345})->range;
        server_id home = find_partition(*world.stored(), {12345})->owner;
        server_id away(owner == world.server(0) ? "s1" : "s0");
        world.plan({{move_step{range, away}}, "there"});
        duration span = world.unserved_within(milliseconds(100));
        REQUIRE(world.owner_of(0) != owner);
        world.plan({{move_step{range, home}}, "and back"});
        check_served(world, "moved back", milliseconds(100));
        CHECK(span <= milliseconds(100));
        CHECK(world.owner_of(0) == owner);
    }

    SECTION("a router leaves: its servers go to others")
    {
        world.leave(scheduler);
        check_served(world, "router leaving", milliseconds(100));
        CHECK(world.scheduler_of(0) != scheduler);
    }
}

TEST_CASE("a server that does not check epochs has no second owner (case 5)",
          "[ownership]")
{
    ownership_world world(options_of({false, false, true}));
    world.run_until_served(seconds(3));
    REQUIRE(world.is_all_served());
    world.run(seconds(10));
    int owner = world.server(0);
    std::size_t hash = 0;
    while (world.owner_of(hash) != owner)
    {
        ++hash;
    }
    int scheduler = world.scheduler_of(hash);

    SECTION("frozen while its router is cut off and still sends to it")
    {
        world.pause(owner);
        world.isolate(scheduler, true);
        world.cut(scheduler, owner, false);
        world.cut(owner, scheduler, false);
        world.run(milliseconds(700));
        world.resume(owner);
        check_served(
            world, "unchecked server, router cut off", served_again + max_request_time);
    }

    SECTION("its router is killed: the next one waits for the longest request")
    {
        world.crash(scheduler);
        world.run(milliseconds(1));
        duration span = world.run_until_served(seconds(10));
        WARN("unchecked server, router killed: served after " << span.count() / 1000
                                                              << " ms");
        CHECK(span >= max_request_time);
        CHECK(span <= served_again + max_request_time);
        CHECK(world.fault() == "");
    }
}

TEST_CASE("voters are replaced, and all of them can be lost", "[ownership]")
{
    world_options options = options_of({true, true, true});
    options.routers = 7;
    options.assignment.max_voters = 3;
    options.assignment.voters_lost_after = seconds(5);
    options.ownership.voter_store_limit = seconds(4);
    ownership_world world(options);
    world.run(seconds(5));
    std::vector<voter_entry> voters = world.stored()->voters;
    REQUIRE(voters.size() == 3);
    auto crash_voter = [&](std::size_t n)
    {
        world.crash(world.router(std::stoi(voters[n].id.str().substr(1))));
    };

    SECTION("one is lost and another one named")
    {
        crash_voter(0);
        check_served(world, "a voter lost");
        world.run(seconds(8));
        CHECK(world.stored()->voters != voters);
        CHECK(world.stored()->previous_voters.empty());
        check_served(world, "voter replaced", duration{});
    }

    SECTION("all are lost: keys wait until none of them can vouch any more")
    {
        crash_voter(0);
        crash_voter(1);
        crash_voter(2);
        world.run(seconds(4));
        CHECK_FALSE(world.is_all_served());
        check_served(world, "all voters lost, 4 s ago", seconds(30));
    }
}

TEST_CASE("what a restart forgets gives nobody a second owner", "[ownership]")
{
    world_options options = options_of({true, true, true});
    options.routers = 7;
    options.assignment.max_voters = 3;
    options.assignment.voters_lost_after = seconds(5);
    options.ownership.voter_store_limit = seconds(40);
    ownership_world world(options);
    world.run(seconds(5));
    int owner = world.owner_of(0);
    int scheduler = world.scheduler_of(0);
    auto each_voter = [&](const std::function<void(int)>& act)
    {
        for (const voter_entry& it : world.stored()->voters)
        {
            int n = world.router(std::stoi(it.id.str().substr(1)));
            n == scheduler ? void() : act(n);
        }
    };

    SECTION("voters and a server restart in a store outage, a router knows only the past")
    {
        world.strand(scheduler, true);
        world.run(seconds(2));
        REQUIRE(world.scheduler_of(0) != scheduler);
        world.drain(owner, true);
        world.run(seconds(2));
        REQUIRE(world.owner_of(0) != owner);
        world.is_store_down = true;
        world.crash(world.assigner(0));
        world.crash(world.assigner(1));
        world.crash(owner);
        world.restart(owner);
        each_voter(
            [&](int n)
            {
                world.crash(n);
                world.restart(n);
            });
        world.run(seconds(5));
        CHECK(world.fault() == "");
        world.heal();
        world.run(seconds(3));
        CHECK(world.is_all_served());
    }

    SECTION("the assigners lose most voters, to whom a router with the old record still "
            "talks")
    {
        shard_record before = *world.stored();
        world.isolate(owner, true);
        world.strand(scheduler, true);
        each_voter(
            [&](int n)
            {
                world.strand(n, true);
                world.cut(n, owner, true);
                world.cut(owner, n, true);
            });
        world.run(seconds(100));
        CHECK(world.fault() == "");
        CHECK(world.stored()->voters != before.voters);
        CHECK(world.stored()->previous_voters.empty());
        world.heal();
        world.run(seconds(3));
        CHECK(world.is_all_served());
    }
}
