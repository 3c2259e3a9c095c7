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

TEST_CASE("A hot key is detected and keeps its load when its partition is split")
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
        THEN("its partition shows about 75 requests per second, 50 of them for the key")
        {
            const std::vector<partition_sample> samples = load.samples(now);
            CHECK(samples[0].load == Approx(75).epsilon(0.15));
            REQUIRE(samples[0].hottest);
            CHECK(samples[0].hottest->at == popular);
            CHECK(samples[0].hottest->load == Approx(50).epsilon(0.15));
        }
        WHEN("the partition is split so that the key has one of its own")
        {
            load.set_partitions({{key_hash{0}, key_hash{999}},
                                 {popular, popular},
                                 {key_hash{1001}, lower_half.last},
                                 upper_half},
                                now);
            THEN("the load of the key is attributed to the new partition")
            {
                const std::vector<partition_sample> samples = load.samples(now);
                CHECK(samples[0].load < 1);
                CHECK(samples[1].load == Approx(50).epsilon(0.15));
                CHECK(samples[2].load == Approx(25).epsilon(0.3));
            }
        }
        WHEN("no requests arrive for a minute")
        {
            THEN("the load has decayed")
            {
                CHECK(load.samples(now + seconds(60))[0].load < 1);
            }
        }
    }
}

// Two servers. The first owns a partition with a hot key among other keys, and a cold
// partition.
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

TEST_CASE("The balancer splits off a hot key and then moves keys")
{
    balancer_options options;
    options.churn_fraction = 1;
    balancer policy(options);
    GIVEN("an overloaded server with a hot key")
    {
        const rebalance_plan plan = policy.plan(two_servers(), time_point(seconds(1)));
        THEN("the plan splits on both sides of the key before it moves a partition")
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
    GIVEN("partitions of that server that are moving already")
    {
        balance_view view = two_servers();
        view.partitions[0].is_moving = true;
        view.partitions[1].is_moving = true;
        THEN("the plan is empty")
        {
            CHECK(policy.plan(view, time_point(seconds(1))).steps.empty());
        }
    }
}

TEST_CASE("The schedule checks each server at random intervals")
{
    std::mt19937_64 random(1);
    balance_schedule schedule({}, random);
    balance_view view = two_servers();
    std::size_t checks = 0;
    std::size_t plans = 0;
    const auto make_view = [&]
    {
        ++checks;
        return view;
    };
    GIVEN("a minute of ticks with two servers")
    {
        time_point now;
        for (; now < time_point(seconds(60)); now += milliseconds(50))
        {
            plans += schedule.tick(view.servers, make_view, now).steps.empty() ? 0 : 1;
        }
        THEN("there are about 60 checks, and load is moved off the overloaded server")
        {
            CHECK(checks >= 40);
            CHECK(checks <= 80);
            CHECK(plans >= 1);
        }
    }
}

} // namespace
} // namespace camphorrock
