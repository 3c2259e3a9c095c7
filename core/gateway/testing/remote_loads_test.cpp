#include "core/gateway/remote_loads.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const server_id a("a");

gateway_load report(std::uint64_t sender, std::uint64_t number, unsigned requests)
{
    gateway_load made{sender, number, {}};
    if (requests > 0)
    {
        made.servers.push_back({tag_of(a), requests});
    }
    return made;
}

} // namespace

TEST_CASE("reports of other gateways add up")
{
    const time_point start{seconds(1)};
    remote_loads loads;
    loads.take(report(1, 1, 3), start);
    loads.take(report(2, 1, 2), start);

    SECTION("the sum stands for all that report")
    {
        CHECK(loads.requests_at(a, 3) == 5);
        CHECK(loads.requests_at(server_id("b"), 3) == 0);
    }
    SECTION("a newer report of a gateway replaces its last")
    {
        CHECK(loads.take(report(1, 2, 0), start));
        CHECK(loads.requests_at(a, 3) == 2);
    }
    SECTION("a late one changes nothing")
    {
        loads.take(report(1, 3, 1), start);
        CHECK_FALSE(loads.take(report(1, 2, 9), start));
        CHECK(loads.requests_at(a, 3) == 3);
    }
    SECTION("a gateway that reports no more is forgotten")
    {
        loads.take(report(2, 2, 2), start + seconds(1));
        loads.expire(start + milliseconds(1500));
        CHECK(loads.requests_at(a, 2) == 2);
    }
    SECTION("where only some report here, they stand for all")
    {
        CHECK(loads.requests_at(a, 21) == 50);
    }
}
