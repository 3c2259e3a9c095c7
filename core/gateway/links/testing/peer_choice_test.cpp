#include "core/gateway/links/peer_choice.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>
#include <map>
#include <string>

using namespace camphorrock;

namespace
{

const time_point now{seconds(100)};

// `n` gateways in each of three data centres; the first one is this gateway.
std::vector<fleet_gateway> make_fleet(int n)
{
    std::vector<fleet_gateway> fleet;
    for (int k = 0; k < 3 * n; ++k)
    {
        const std::string zone(1, static_cast<char>('a' + k % 3));
        fleet.push_back({endpoint("g" + std::to_string(k)), data_centre(zone), 100});
    }
    return fleet;
}

} // namespace

TEST_CASE("a peer is chosen among the other gateways")
{
    std::minstd_rand random(5);
    peer_choice peers;

    SECTION("none without a fleet, or in a fleet of one")
    {
        CHECK_FALSE(peers.choose({}, random, now));
        const std::vector<fleet_gateway> fleet = make_fleet(1);
        peers.set_fleet({fleet[0]}, fleet[0]);
        CHECK_FALSE(peers.choose({}, random, now));
    }
    SECTION("never this gateway, nor one that was tried")
    {
        const std::vector<fleet_gateway> fleet = make_fleet(1);
        peers.set_fleet(fleet, fleet[0]);
        for (int n = 0; n < 50; ++n)
        {
            CHECK(peers.choose({endpoint("g1")}, random, now) == endpoint("g2"));
        }
        CHECK_FALSE(peers.choose({endpoint("g1"), endpoint("g2")}, random, now));
    }
    SECTION("in the own data centre while its gateways have few requests from here")
    {
        const std::vector<fleet_gateway> fleet = make_fleet(4);
        peers.set_fleet(fleet, fleet[0]);
        const auto to = peers.choose({}, random, now);
        REQUIRE(to);
        CHECK((*to == endpoint("g3") || *to == endpoint("g6") || *to == endpoint("g9")));
    }
}

// Guards against one gateway that gets the requests of all that are cut off.
TEST_CASE("requests are spread over the peers")
{
    std::minstd_rand random(6);
    const std::vector<fleet_gateway> fleet = make_fleet(4);
    peer_choice peers;
    peers.set_fleet(fleet, fleet[0]);
    std::map<endpoint, unsigned> in_flight;
    for (int n = 0; n < 66; ++n)
    {
        const std::optional<endpoint> to = peers.choose({}, random, now);
        REQUIRE(to);
        peers.started(*to);
        ++in_flight[*to];
    }
    CHECK(in_flight.size() == 11);
    for (const auto& [peer, n] : in_flight)
    {
        INFO(peer.str());
        CHECK(n >= 3);
        CHECK(n <= 12);
    }
}

// Guards against a request that is sent to a gateway of which it is known that it
// declines.
TEST_CASE("a peer that does not take a request on is left out for a while")
{
    std::minstd_rand random(7);
    const std::vector<fleet_gateway> fleet = make_fleet(1);
    peer_choice peers;
    peers.set_fleet(fleet, fleet[0]);
    peers.started(endpoint("g1"));

    SECTION("after it declined")
    {
        peers.ended(endpoint("g1"), peer_end::declined, now);
        CHECK(peers.choose({endpoint("g2")}, random, now) == std::nullopt);
        CHECK(peers.choose({endpoint("g2")}, random, now + milliseconds(500)) ==
              endpoint("g1"));
    }
    SECTION("longer after it could not be reached")
    {
        peers.ended(endpoint("g1"), peer_end::lost, now);
        CHECK(peers.choose({endpoint("g2")}, random, now + milliseconds(500)) ==
              std::nullopt);
        CHECK(peers.choose({endpoint("g2")}, random, now + seconds(1)) == endpoint("g1"));
    }
    SECTION("not after it took one on")
    {
        peers.ended(endpoint("g1"), peer_end::taken, now);
        CHECK(peers.choose({endpoint("g2")}, random, now) == endpoint("g1"));
    }
    SECTION("while it has as many requests from here as it may have")
    {
        for (int n = 1; n < 20; ++n)
        {
            peers.started(endpoint("g1"));
        }
        CHECK(peers.choose({endpoint("g2")}, random, now) == std::nullopt);
    }
}
