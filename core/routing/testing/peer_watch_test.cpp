#include "core/routing/peer_watch.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("a router that answers nothing becomes silent, and is heard again")
{
    const endpoint peer("10.0.0.2:7000");
    const endpoint other("10.0.0.3:7000");
    const time_point start(seconds(100));
    peer_watch watch({});
    watch.sent(peer, start);

    SECTION("a request that takes long is no sign of silence")
    {
        CHECK(watch.due(start + milliseconds(199)).empty());
        CHECK(watch.due(start + milliseconds(200)) == std::vector<endpoint>{peer});
        watch.heard(peer);
        CHECK_FALSE(watch.is_silent(peer));
        CHECK_FALSE(watch.is_waiting());
        CHECK(watch.due(start + seconds(1)).empty());
    }

    GIVEN("two questions in a row without an answer")
    {
        REQUIRE(watch.due(start + milliseconds(200)).size() == 1);
        watch.question_failed(peer);
        CHECK_FALSE(watch.is_silent(peer));
        CHECK(watch.due(start + milliseconds(449)).empty());
        REQUIRE(watch.due(start + milliseconds(450)).size() == 1);
        watch.question_failed(peer);

        THEN("it is silent, another one is not")
        {
            CHECK(watch.is_silent(peer));
            CHECK_FALSE(watch.is_silent(other));
        }

        THEN("it is asked on while requests for it come, and forgotten after")
        {
            watch.sent(peer, start + seconds(9));
            CHECK(watch.due(start + seconds(18)).size() == 1);
            CHECK(watch.is_silent(peer));
            CHECK(watch.due(start + seconds(19)).empty());
            CHECK_FALSE(watch.is_silent(peer));
        }

        THEN("one answer ends it")
        {
            watch.heard(peer);
            CHECK_FALSE(watch.is_silent(peer));
            watch.sent(peer, start + seconds(2));
            watch.question_failed(peer);
            CHECK_FALSE(watch.is_silent(peer));
        }
    }

    SECTION("peers beyond the budget are never silent")
    {
        peer_watch_options options;
        options.max_peers = 1;
        peer_watch small(options);
        small.sent(peer, start);
        small.sent(other, start);
        small.question_failed(other);
        small.question_failed(other);
        CHECK_FALSE(small.is_silent(other));
    }
}
