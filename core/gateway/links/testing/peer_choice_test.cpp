#include "core/gateway/fleet/testing/make_fleet.hpp"
#include "core/gateway/links/peer_choice.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>
#include <map>
#include <string>

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

const time_point now{seconds(100)};

// `n` gateways in each of three data centres; the first one is this gateway.
} // namespace

TEST_CASE("a peer is chosen among the other gateways")
{
    std::minstd_rand random(5);
    peer_choice peers;

    SECTION("none without a fleet, or in a fleet of one")
    {
        CHECK_FALSE(peers.choose({}, random, now));
        const std::vector<fleet_gateway> fleet = make_fleet(3, 3);
        peers.set_fleet({fleet[0]}, fleet[0]);
        CHECK_FALSE(peers.choose({}, random, now));
    }
    SECTION("never this gateway, nor one that was tried")
    {
        const std::vector<fleet_gateway> fleet = make_fleet(3, 3);
        peers.set_fleet(fleet, fleet[0]);
        for (int n = 0; n < 50; ++n)
        {
            CHECK(peers.choose({fleet[1].peer}, random, now) == fleet[2].peer);
        }
        CHECK_FALSE(peers.choose({fleet[1].peer, fleet[2].peer}, random, now));
    }
    SECTION("in the own data centre while its gateways have few requests from here")
    {
        const std::vector<fleet_gateway> fleet = make_fleet(12, 3);
        peers.set_fleet(fleet, fleet[0]);
        const auto to = peers.choose({}, random, now);
        REQUIRE(to);
        CHECK((*to == fleet[3].peer || *to == fleet[6].peer || *to == fleet[9].peer));
    }
}

// Guards against one gateway that gets the requests of all that are cut off.
TEST_CASE("requests are spread over the peers")
{
    std::minstd_rand random(6);
    const std::vector<fleet_gateway> fleet = make_fleet(12, 3);
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
    const std::vector<fleet_gateway> fleet = make_fleet(3, 3);
    peer_choice peers;
    peers.set_fleet(fleet, fleet[0]);
    peers.started(fleet[1].peer);

    SECTION("after it declined")
    {
        peers.ended(fleet[1].peer, peer_end::declined, now);
        CHECK(peers.choose({fleet[2].peer}, random, now) == std::nullopt);
        CHECK(peers.choose({fleet[2].peer}, random, now + milliseconds(500)) ==
              fleet[1].peer);
    }
    SECTION("longer after it could not be reached")
    {
        peers.ended(fleet[1].peer, peer_end::lost, now);
        CHECK(peers.choose({fleet[2].peer}, random, now + milliseconds(500)) ==
              std::nullopt);
        CHECK(peers.choose({fleet[2].peer}, random, now + seconds(1)) == fleet[1].peer);
    }
    SECTION("not after it took one on")
    {
        peers.ended(fleet[1].peer, peer_end::taken, now);
        CHECK(peers.choose({fleet[2].peer}, random, now) == fleet[1].peer);
    }
    SECTION("while it has as many requests from here as it may have")
    {
        for (int n = 1; n < 20; ++n)
        {
            peers.started(fleet[1].peer);
        }
        CHECK(peers.choose({fleet[2].peer}, random, now) == std::nullopt);
    }
}

// Guards against requests that try one unreachable gateway after the other, each for as
// long as a connection may take, at a gateway that is cut off from all.
TEST_CASE("a gateway that reaches no other one does not go on trying")
{
    std::minstd_rand random(8);
    const std::vector<fleet_gateway> fleet = make_fleet(195, 6);
    peer_choice peers;
    peers.set_fleet(fleet, fleet[0]);
    for (int n = 0; n < 3; ++n)
    {
        const std::optional<endpoint> to = peers.choose({}, random, now);
        REQUIRE(to);
        peers.started(*to);
        peers.ended(*to, peer_end::lost, now);
    }
    CHECK_FALSE(peers.choose({}, random, now));
    const time_point later = now + milliseconds(300);
    const std::optional<endpoint> to = peers.choose({}, random, later);
    REQUIRE(to);
    peers.started(*to);

    SECTION("until one takes a request on")
    {
        peers.ended(*to, peer_end::taken, later);
        CHECK(peers.choose({}, random, later));
    }
    SECTION("or declines")
    {
        peers.ended(*to, peer_end::declined, later);
        CHECK(peers.choose({}, random, later));
    }
    SECTION("and stops again at the next loss")
    {
        peers.ended(*to, peer_end::lost, later);
        CHECK_FALSE(peers.choose({}, random, later));
    }
}
