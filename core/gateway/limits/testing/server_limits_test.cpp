#include "core/gateway/limits/server_limits.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const server_id server("s0");
const server_incarnation first_life{1};
const server_incarnation second_life{2};

limit_statement names(double rate)
{
    return {true, rate};
}

const limit_statement names_none{};
const limit_statement unreadable{true, std::nullopt};

} // namespace

TEST_CASE("a server has the limit that its latest answer names")
{
    server_limits limits;
    time_point now{seconds(10)};
    CHECK(limits.observe(server, first_life, names_none, now) == limit_change::none);
    CHECK(limits.empty());
    CHECK(limits.observe(server, first_life, names(3.1), now) == limit_change::named);
    CHECK(limits.observe(server, first_life, names(3.1), now) == limit_change::none);
    CHECK(limits.observe(server, first_life, names(4.5), now) == limit_change::changed);
    CHECK(limits.rate_of(server, first_life, now) == 4.5);

    SECTION("a limit of zero leaves a request now and then")
    {
        limits.observe(server, first_life, names(0), now);
        CHECK(limits.rate_of(server, first_life, now) == 0.25);
    }
    SECTION("one that cannot be read changes nothing, and is told once")
    {
        CHECK(limits.observe(server, first_life, unreadable, now) ==
              limit_change::unreadable);
        CHECK(limits.observe(server, first_life, unreadable, now) == limit_change::none);
        CHECK(limits.rate_of(server, first_life, now) == 4.5);
    }
    SECTION("another run of the server has no limit until it names one")
    {
        CHECK_FALSE(limits.rate_of(server, second_life, now));
        CHECK(limits.observe(server, second_life, names(2), now) == limit_change::named);
        CHECK_FALSE(limits.rate_of(server, first_life, now));
    }
    SECTION("after an answer without one, the rate rises until there is no limit")
    {
        CHECK(limits.observe(server, first_life, names_none, now) == limit_change::ended);
        CHECK(limits.rate_of(server, first_life, now) == 4.5);
        CHECK(limits.rate_of(server, first_life, now + seconds(2)) == 18);
        CHECK_FALSE(limits.rate_of(server, first_life, now + seconds(4)));

        AND_THEN("a limit that is named again holds at once")
        {
            now += seconds(1);
            limits.observe(server, first_life, names(3), now);
            CHECK(limits.rate_of(server, first_life, now) == 3);
        }
        AND_THEN("its row is dropped when it is over")
        {
            limits.expire([](const server_limit&) { return true; }, now + seconds(4));
            CHECK(limits.empty());
        }
    }
    SECTION("it is dropped with its server")
    {
        limits.expire([](const server_limit&) { return false; }, now);
        CHECK(limits.empty());
    }
}

TEST_CASE("of the observations of several gateways, the latest counts")
{
    server_limits limits;
    const time_point now{seconds(10)};
    limits.observe(server, first_life, names(3), now);

    SECTION("an older one is ignored")
    {
        CHECK_FALSE(limits.adopt({server, first_life, 9, false, now - seconds(1)}));
        CHECK(limits.rate_of(server, first_life, now) == 3);
    }
    SECTION("a later one replaces it")
    {
        CHECK(limits.adopt({server, first_life, 9, false, now + milliseconds(1)}));
        CHECK(limits.rate_of(server, first_life, now) == 9);
    }
    SECTION("the end of a limit is not undone by a gateway that has not seen it")
    {
        limits.observe(server, first_life, names_none, now + seconds(2));
        CHECK_FALSE(limits.adopt({server, first_life, 3, false, now + seconds(1)}));
        CHECK_FALSE(limits.rate_of(server, first_life, now + seconds(6)));
    }
}
