#include "core/balance/balance_schedule.hpp"
#include "core/balance/partition_load.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr std::uint64_t middle = 1ULL << 63;
const hash_range lower_half{key_hash{0}, key_hash{middle - 1}};
const hash_range upper_half{key_hash{middle}, hash_range{}.last};

TEST_CASE("A hot key is found, split off and keeps its load")
{
    partition_load load({});
    time_point now;
    load.set_partitions({lower_half, upper_half}, now);
    const key_hash popular{1000};
    GIVEN("half a minute in which one key takes half of the requests")
    {
        std::mt19937_64 random(1);
        for (int i = 0; i < 3000; ++i)
        {
            now += milliseconds(10);
            load.add(i % 2 == 0 ? popular : key_hash{random()}, 1, now);
        }
        THEN("its partition shows about 75 requests a second, 50 of them its own")
        {
            const std::vector<partition_sample> seen = load.samples(now);
            CHECK(seen[0].load == Approx(75).epsilon(0.15));
            REQUIRE(seen[0].hottest);
            CHECK(seen[0].hottest->at == popular);
            CHECK(seen[0].hottest->load == Approx(50).epsilon(0.15));
        }
        WHEN("the key gets a partition of its own")
        {
            load.set_partitions({{key_hash{0}, key_hash{999}},
                                 {popular, popular},
                                 {key_hash{1001}, lower_half.last},
                                 upper_half},
                                now);
            THEN("the load went with it")
            {
                const std::vector<partition_sample> seen = load.samples(now);
                CHECK(seen[0].load < 1);
                CHECK(seen[1].load == Approx(50).epsilon(0.15));
                CHECK(seen[2].load == Approx(25).epsilon(0.3));
            }
        }
        WHEN("nothing comes for a minute")
        {
            THEN("the load is forgotten")
            {
                CHECK(load.samples(now + seconds(60))[0].load < 1);
            }
        }
    }
}

// Two servers; the first has a hot key in a partition with others, and a cold one.
balance_view two_servers()
{
    balance_view view;
    view.servers = {{server_id("server-a"), 1, true}, {server_id("server-b"), 1, true}};
    view.partitions = {
        {{key_hash{0}, key_hash{middle / 2 - 1}},
         0,
         100,
         250,
         hot_key{key_hash{1000}, 80},
         false},
        {{key_hash{middle / 2}, key_hash{middle - 1}}, 0, 30, 250, {}, false},
        {upper_half, 1, 30, 500, {}, false}};
    return view;
}

TEST_CASE("The balancer splits a hot key off and moves what is cheap")
{
    balancer_options options;
    options.churn_share = 1;
    balancer decide(options);
    GIVEN("a server with a hot key")
    {
        const rebalance_plan plan = decide.plan(two_servers(), time_point(seconds(1)));
        THEN("the key is split off on both sides, and then keys move")
        {
            REQUIRE(plan.steps.size() >= 3);
            REQUIRE(std::holds_alternative<split_step>(plan.steps[0]));
            CHECK(std::get<split_step>(plan.steps[0]).at == key_hash{1000});
            REQUIRE(std::holds_alternative<split_step>(plan.steps[1]));
            CHECK(std::get<split_step>(plan.steps[1]).at == key_hash{1001});
            CHECK(std::holds_alternative<move_step>(plan.steps[2]));
            CHECK(plan.reason == "load");
        }
    }
    GIVEN("a partition that is moving already")
    {
        balance_view view = two_servers();
        view.partitions[0].is_moving = true;
        view.partitions[1].is_moving = true;
        THEN("it is left alone")
        {
            CHECK(decide.plan(view, time_point(seconds(1))).steps.empty());
        }
    }
}

TEST_CASE("The schedule looks at each server at times of its own")
{
    std::mt19937_64 random(1);
    balance_schedule schedule({}, random);
    balance_view view = two_servers();
    std::size_t looks = 0;
    std::size_t plans = 0;
    const auto seen = [&]
    {
        ++looks;
        return view;
    };
    GIVEN("a minute of ticks")
    {
        time_point now;
        for (; now < time_point(seconds(60)); now += milliseconds(50))
        {
            plans += schedule.tick(view.servers, seen, now).steps.empty() ? 0 : 1;
        }
        THEN("each server is looked at about every two seconds, and the loaded one acts")
        {
            CHECK(looks >= 40);
            CHECK(looks <= 80);
            CHECK(plans >= 1);
        }
    }
}

} // namespace
} // namespace camphorrock
