#include "core/gateway/fleet/counting_gateways.hpp"
#include "core/gateway/fleet/testing/make_fleet.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using namespace camphorrock::testing;

TEST_CASE("the gateways of a fleet divide the names among them for counting")
{
    const std::vector<fleet_gateway> fleet = make_fleet(100);
    std::vector<fleet_gateway> smaller = fleet;
    smaller.erase(smaller.begin() + 40);
    std::map<endpoint, unsigned> names_by_gateway;
    for (int n = 0; n < 1000; ++n)
    {
        const std::string name = "s" + std::to_string(n);
        const std::vector<endpoint> chosen = ranked_gateways_of(fleet, name, 2);
        REQUIRE(chosen.size() == 2);
        CHECK(chosen[0] != chosen[1]);
        ++names_by_gateway[chosen[0]];
        const endpoint later = ranked_gateways_of(smaller, name, 2)[0];
        const bool has_lost_counter = chosen[0] == fleet[40].peer;
        CHECK(later == (has_lost_counter ? chosen[1] : chosen[0]));
    }
    CHECK(names_by_gateway.size() == 100);
    for (const auto& [peer, n] : names_by_gateway)
    {
        CHECK(n < 40);
    }
}

TEST_CASE("a gateway that misses replies is passed over for a while")
{
    const std::vector<fleet_gateway> fleet = make_fleet(5);
    const std::string name = "service";
    const std::vector<endpoint> ranked = ranked_gateways_of(fleet, name, 2);
    counting_gateways gateways;
    time_point now{seconds(10)};
    CHECK_FALSE(gateways.choose(name, now)); // the fleet is not known
    gateways.set_fleet(fleet, ranked[0]);
    CHECK(gateways.is_preferred(name));
    CHECK(gateways.choose(name, now) == ranked[0]);

    SECTION("one missed reply is no silence, and a reply ends the count")
    {
        for (int n = 0; n < 10; ++n)
        {
            gateways.note_missed_reply(ranked[0], now);
            gateways.note_reply(ranked[0]);
        }
        CHECK(gateways.choose(name, now) == ranked[0]);
    }
    SECTION("after several in a row the next in rank counts, until the silence ends")
    {
        for (int n = 0; n < 3; ++n)
        {
            gateways.note_missed_reply(ranked[0], now);
        }
        CHECK(gateways.choose(name, now) == ranked[1]);
        CHECK(gateways.is_preferred(name));
        gateways.expire(now);
        CHECK(gateways.choose(name, now) == ranked[1]);
        now += seconds(2);
        gateways.expire(now);
        CHECK(gateways.choose(name, now) == ranked[0]);
    }
    SECTION("if all are silent, there is none")
    {
        for (int n = 0; n < 3; ++n)
        {
            gateways.note_missed_reply(ranked[0], now);
            gateways.note_missed_reply(ranked[1], now);
        }
        CHECK_FALSE(gateways.choose(name, now));
    }
}
