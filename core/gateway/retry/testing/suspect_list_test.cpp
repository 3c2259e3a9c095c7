#include "core/gateway/retry/suspect_list.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("a suspect list gives the standing of a request by either fingerprint")
{
    const request_fingerprint request{1, 2};
    suspect_list list({.max_rows = 4});
    time_point now{seconds(10)};
    CHECK(list.standing_of(request) == crash_standing::clear);
    CHECK(list.add({2, 1}, now));
    CHECK_FALSE(list.add({2, 1}, now)); // no news
    CHECK(list.standing_of(request) == crash_standing::suspected);

    SECTION("the higher count holds")
    {
        CHECK(list.add({1, crashes_to_condemn}, now));
        CHECK_FALSE(list.add({1, 1}, now));
        CHECK(list.standing_of(request) == crash_standing::condemned);
        CHECK(list.crashes_of(request) == known_crashes{crashes_to_condemn, 1});
    }
    SECTION("a row without crashes clears its fingerprint")
    {
        CHECK(list.add({2, 0}, now));
        CHECK(list.is_empty());
    }
    SECTION("beyond its rows the oldest suspect goes, and a verdict stays")
    {
        list.add({1, crashes_to_condemn}, now);
        for (std::uint64_t n = 10; n < 20; ++n)
        {
            now += seconds(1);
            list.add({n, 1}, now);
        }
        CHECK(list.standing_of(request) == crash_standing::condemned);
        CHECK(list.standing_of({19, 0}) == crash_standing::suspected);
        CHECK(list.standing_of({10, 0}) == crash_standing::clear);
        CHECK(list.condemned(10) == std::vector<suspect_row>{{1, crashes_to_condemn}});
    }
    SECTION("a suspect is kept for minutes, a verdict for a day")
    {
        list.add({1, crashes_to_condemn}, now);
        list.expire(now + std::chrono::minutes(11));
        CHECK(list.crashes_of(request) == known_crashes{crashes_to_condemn, 0});
        list.expire(now + std::chrono::hours(25));
        CHECK(list.is_empty());
    }
}
