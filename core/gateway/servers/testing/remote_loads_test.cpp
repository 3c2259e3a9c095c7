#include "core/gateway/servers/remote_loads.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const server_id a("a");

gateway_load
report(std::uint64_t sender, std::uint64_t sequence_number, unsigned requests)
{
    gateway_load made{sender, sequence_number, {}};
    if (requests > 0)
    {
        made.servers.push_back({tag_of(a), requests});
    }
    return made;
}

} // namespace

TEST_CASE("the loads that other gateways report are added up")
{
    const time_point start{seconds(1)};
    remote_loads loads;
    loads.add_report(report(1, 1, 3), start);
    loads.add_report(report(2, 1, 2), start);

    SECTION("if all other gateways report, the load is the sum")
    {
        CHECK(loads.requests_at(a, 3) == 5);
        CHECK(loads.requests_at(server_id("b"), 3) == 0);
    }
    SECTION("a newer report of a gateway replaces its previous one")
    {
        CHECK(loads.add_report(report(1, 2, 0), start));
        CHECK(loads.requests_at(a, 3) == 2);
    }
    SECTION("a report that arrives after a newer one is ignored")
    {
        loads.add_report(report(1, 3, 1), start);
        CHECK_FALSE(loads.add_report(report(1, 2, 9), start));
        CHECK(loads.requests_at(a, 3) == 3);
    }
    SECTION("a report expires if no newer one is received")
    {
        loads.add_report(report(2, 2, 2), start + seconds(1));
        loads.expire(start + milliseconds(1500));
        CHECK(loads.requests_at(a, 2) == 2);
    }
    SECTION("if only some of the gateways report, the sum is extrapolated")
    {
        CHECK(loads.requests_at(a, 21) == 50);
    }
}
