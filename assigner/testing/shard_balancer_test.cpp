#include "assigner/shard_balancer.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const hash_range low{{0}, {hash_range().last.value / 2}};
const hash_range high{{low.last.value + 1}, hash_range().last};

// Two servers with one partition each: s1 owns `low`, s2 owns `high`.
struct balance_fixture
{
    balance_fixture()
    {
        record.shard = shard_id("valves");
        record.version = epoch{1};
        record.servers = {{server_id("s1"), {}, true, instance_id("r1"), {}, {}},
                          {server_id("s2"), {}, true, instance_id("r1"), {}, {}}};
        record.partitions = {{low, server_id("s1"), {}, {}},
                             {high, server_id("s2"), {}, {}}};
        service.servers = {{server_id("s1"), {}, {}, true, false},
                           {server_id("s2"), {}, {}, true, false}};
    }

    // Reports slot times and requests a plan every 100 ms for ten seconds. Returns true
    // if any plan had a step.
    bool plans_steps(duration low_load, duration high_load)
    {
        bool has_plan = false;
        for (int n = 0; n < 100; ++n)
        {
            now += milliseconds(100);
            shard_status status;
            status.servers = {{server_id("s1"), server_condition::alive, 0, 0, 0, 0, {}}};
            status.load = {{low, low_load, {}}, {high, high_load, {}}};
            balancer.reported(status, now);
            has_plan = has_plan || !balancer.plan(record, service, now).steps.empty();
        }
        return has_plan;
    }

    time_point now{seconds(100)};
    std::mt19937_64 random{5};
    shard_record record;
    service_config service;
    shard_balancer balancer{{}, random};
};

} // namespace

TEST_CASE("a shard balancer plans moves only for unequal, recent load")
{
    balance_fixture fixture;

    SECTION("unequal load: it plans moves and measures the imbalance")
    {
        CHECK(fixture.plans_steps(milliseconds(2000), milliseconds(100)));
        CHECK(fixture.balancer.last_imbalance() > 1.5);
    }
    SECTION("balancing turned off: it plans nothing but measures the imbalance")
    {
        fixture.service.balance = false;
        CHECK_FALSE(fixture.plans_steps(milliseconds(2000), milliseconds(100)));
        CHECK(fixture.balancer.last_imbalance() > 1.5);
    }
    SECTION("equal load: it plans nothing")
    {
        CHECK_FALSE(fixture.plans_steps(milliseconds(1000), milliseconds(1000)));
    }
    SECTION("load below min_load_fraction: it plans nothing")
    {
        CHECK_FALSE(fixture.plans_steps(milliseconds(60), milliseconds(1)));
    }
    SECTION("loads older than max_sample_age: it plans nothing")
    {
        fixture.plans_steps(milliseconds(1000), milliseconds(1000));
        fixture.now += seconds(60);
        CHECK(fixture.balancer.plan(fixture.record, fixture.service, fixture.now)
                  .steps.empty());
    }
}
