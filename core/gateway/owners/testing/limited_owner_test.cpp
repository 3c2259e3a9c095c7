#include "core/base/busiest_window.hpp"
#include "core/gateway/owners/testing/assigner_fixture.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

constexpr duration limit_window = seconds(4);
// From when a server names its limit until it must be kept.
constexpr duration settling_time = seconds(3);

constexpr unsigned servers = 8;
constexpr unsigned ranges_per_server = 4;

// Ranges of the same width, dealt to the servers in turn.
key_assignment dealt_ranges()
{
    key_assignment made;
    made.version = {1, 1};
    made.writer = instance_id("g0");
    made.epoch_limit = epoch{1000};
    service_key_ranges& row = made.services.emplace_back();
    row.service = valves;
    const unsigned width = (last_shard_key + 1) / (servers * ranges_per_server);
    for (unsigned n = 0; n < servers * ranges_per_server; ++n)
    {
        assigned_key_range& range = row.key_ranges.emplace_back();
        range.keys = {n * width, (n + 1) * width - 1};
        range.owner = server_id("s" + std::to_string(n % servers));
        range.incarnation.started_ms = 1;
        range.grant_epoch = epoch{n + 1};
    }
    return made;
}

// A service with 50 requests a second for keys all over, whose servers own several ranges
// each.
struct limited_fixture : assigner_fixture
{
    limited_fixture() : assigner_fixture(servers, dealt_ranges())
    {
        load = [this]
        {
            ++turn;
            if (turn % 2 == 0)
            {
                const unsigned key = turn * 7919 % (last_shard_key + 1);
                assigner.add_load(valves, shard_key{key}, now);
            }
        };
        run(seconds(2));
    }

    std::size_t ranges_of(const std::string& server) const
    {
        std::size_t n = 0;
        for (const assigned_key_range& it :
             last_published.find_service(valves)->key_ranges)
        {
            n += it.owner == server_id(server) ? 1 : 0;
        }
        return n;
    }

    // The most orders that the server got within limit_window, from `from` on.
    std::size_t most_orders(const std::string& server, time_point from) const
    {
        std::vector<time_point> times;
        for (std::size_t n = 0; n < orders.size(); ++n)
        {
            if (orders[n].server == server_id(server) && order_times[n] >= from)
            {
                times.push_back(order_times[n]);
            }
        }
        return busiest_window(times, limit_window, from);
    }

    unsigned turn = 0;
};

} // namespace

// Guards against renewals of grants that use up, or exceed, the limit of their server
// (LIMIT).
TEST_CASE("orders to an owner that names a limit leave room for requests")
{
    limited_fixture fixture;
    REQUIRE(fixture.ranges_of("s0") == ranges_per_server);
    const double limit = 3;
    fixture.limits[server_id("s0")] = limit;
    const time_point named_at = fixture.now;
    fixture.run(seconds(20));
    const double allowed = limit * std::chrono::duration<double>(limit_window).count();
    CHECK(static_cast<double>(fixture.most_orders("s0", named_at + settling_time)) <=
          allowed / 2);

    THEN("its keys do not move back and forth")
    {
        const auto releases = [&]
        {
            return std::count_if(fixture.orders.begin(),
                                 fixture.orders.end(),
                                 [](const key_order& it)
                                 { return it.kind == order_kind::release; });
        };
        const auto before = releases();
        fixture.run(seconds(20));
        CHECK(releases() == before);
    }
    THEN("each key has an owner that holds a grant")
    {
        for (unsigned key = 0; key < 65536; key += 1024)
        {
            INFO(key);
            CHECK(fixture.held_until[server_id(fixture.owner(key))] > fixture.now);
        }
    }
    THEN("the keys that it keeps are requested less often than the limit")
    {
        CHECK(fixture.ranges_of("s0") <= 2);
    }
}

// Guards against moves of all key ranges but one off a server whose limit has room for
// their renewals.
TEST_CASE("an owner that names a high limit keeps its key ranges")
{
    limited_fixture fixture;
    fixture.limits[server_id("s0")] = 50;
    fixture.run(seconds(10));
    CHECK(fixture.ranges_of("s0") == ranges_per_server);
}

TEST_CASE("where all owners name low limits, their keys stay and get fewer orders")
{
    limited_fixture fixture;
    for (unsigned n = 0; n < servers; ++n)
    {
        fixture.limits[server_id("s" + std::to_string(n))] = 3;
    }
    fixture.run(seconds(20));
    CHECK(fixture.ranges_of("s0") >= ranges_per_server - 1);
    CHECK(fixture.most_orders("s0", fixture.now - seconds(15)) <= 6);
    for (unsigned key = 0; key < 65536; key += 1024)
    {
        CHECK(fixture.held_until[server_id(fixture.owner(key))] > fixture.now);
    }
}

// Guards against slow renewals that leave an owner with a short grant when the store goes
// away.
TEST_CASE("a limited owner, too, has a long grant when the assigner loses its authority")
{
    for (int ms = 0; ms < 5000; ms += 250)
    {
        limited_fixture fixture;
        fixture.limits[server_id("s0")] = 1;
        fixture.run(seconds(6) + milliseconds(ms));
        fixture.is_renewing = false;
        fixture.run(milliseconds(1500));
        CHECK(fixture.held_until[server_id("s0")] > fixture.now + seconds(8));
    }
}
