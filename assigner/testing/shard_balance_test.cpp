#include "assigner/shard_balance.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const hash_range low{{0}, {hash_range().last.value / 2}};
const hash_range high{{low.last.value + 1}, hash_range().last};

// Two servers with a partition each, s1 with far more load.
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

    // Reports loads and asks for plans for ten seconds; true if any had a step.
    bool plans(duration on_low, duration on_high)
    {
        bool has_plan = false;
        for (int n = 0; n < 100; ++n)
        {
            now += milliseconds(100);
            shard_status status;
            status.servers = {{server_id("s1"), server_condition::alive, 0, 0, 0, 0, {}}};
            status.load = {{low, on_low, {}}, {high, on_high, {}}};
            balance.reported(status, now);
            has_plan = has_plan || !balance.plan(record, service, now).steps.empty();
        }
        return has_plan;
    }

    time_point now{seconds(100)};
    std::mt19937_64 random{5};
    shard_record record;
    service_config service;
    shard_balance balance{{}, random};
};

} // namespace

TEST_CASE("an assigner moves load between its servers")
{
    balance_fixture fixture;

    SECTION("where one carries far more than the other")
    {
        CHECK(fixture.plans(milliseconds(2000), milliseconds(100)));
        CHECK(fixture.balance.last_imbalance() > 1.5);
    }
    SECTION("not where the configuration has it off, but it still measures")
    {
        fixture.service.balance = false;
        CHECK_FALSE(fixture.plans(milliseconds(2000), milliseconds(100)));
        CHECK(fixture.balance.last_imbalance() > 1.5);
    }
    SECTION("not where both carry the same")
    {
        CHECK_FALSE(fixture.plans(milliseconds(1000), milliseconds(1000)));
    }
    SECTION("not where the fleet is almost idle")
    {
        CHECK_FALSE(fixture.plans(milliseconds(60), milliseconds(1)));
    }
    SECTION("not by loads that are old")
    {
        fixture.plans(milliseconds(1000), milliseconds(1000));
        fixture.now += seconds(60);
        CHECK(fixture.balance.plan(fixture.record, fixture.service, fixture.now)
                  .steps.empty());
    }
}
