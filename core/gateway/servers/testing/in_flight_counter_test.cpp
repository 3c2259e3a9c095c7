#include "core/gateway/fleet/testing/make_fleet.hpp"
#include "core/gateway/servers/in_flight_counter.hpp"
#include "testing/test_headers.hpp"

#include <random>

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

constexpr server_tag busy{1};
constexpr server_tag other{2};

} // namespace

TEST_CASE("a counter returns the other requests in flight at a server")
{
    in_flight_counter counter(seconds(4));
    const time_point start{seconds(10)};
    CHECK(counter.reserve({busy, 1}, start) == 0);
    CHECK(counter.reserve({busy, 2}, start) == 1);
    CHECK(counter.reserve({other, 3}, start) == 0);

    SECTION("a repeated reservation counts once")
    {
        CHECK(counter.reserve({busy, 2}, start) == 1);
        CHECK(counter.requests_at(busy) == 2);
    }
    SECTION("a release ends one reservation, and a repeated one has no effect")
    {
        counter.release({busy, 1});
        counter.release({busy, 1});
        counter.release({busy, 9});
        CHECK(counter.reserve({busy, 4}, start) == 1);
    }
    SECTION("a reservation that is not released ends after its lifetime")
    {
        counter.release({busy, 1});
        CHECK(counter.reserve({busy, 4}, start + seconds(3)) == 1);
        CHECK(counter.reserve({busy, 5}, start + seconds(4)) == 1);
        counter.expire(start + seconds(8));
        CHECK(counter.requests_at(busy) == 0);
        CHECK(counter.requests_at(other) == 0);
    }
}

TEST_CASE("a counter holds no more reservations than its limit")
{
    in_flight_counter counter(seconds(4), 10);
    for (std::uint64_t n = 0; n < 1000; ++n)
    {
        counter.reserve({busy, n}, {});
    }
    CHECK(counter.requests_at(busy) == 10);
    counter.release({busy, 0});
    counter.reserve({busy, 5000}, {});
    CHECK(counter.requests_at(busy) == 10);
}

TEST_CASE("counting agrees with a list of reservations after random calls")
{
    std::mt19937 random(7);
    in_flight_counter counter(milliseconds(100));
    std::map<reservation, time_point> expected; // when each one ends
    time_point now{};
    for (int n = 0; n < 20000; ++n)
    {
        now += milliseconds(random() % 4);
        std::erase_if(expected, [&](const auto& it) { return it.second <= now; });
        const reservation it{{static_cast<std::uint32_t>(random() % 3)}, random() % 200};
        if (random() % 3 == 0)
        {
            counter.release(it);
            expected.erase(it);
            continue;
        }
        const auto others =
            std::count_if(expected.begin(),
                          expected.end(),
                          [&](const auto& row)
                          { return row.first.server == it.server && row.first != it; });
        REQUIRE(counter.reserve(it, now) == static_cast<unsigned>(others));
        expected.try_emplace(it, now + milliseconds(100));
    }
}

TEST_CASE("in a fleet that is one group, no gateway counts requests for the others")
{
    CHECK(gateways_that_count_requests(make_fleet(16)).empty());
    CHECK(gateways_that_count_requests(make_fleet(17)).size() == 17);
}
