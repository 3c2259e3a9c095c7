#include "core/gateway/links/link_monitor.hpp"
#include "testing/test_headers.hpp"

#include <string>

using namespace camphorrock;

namespace
{

const time_point start{seconds(100)};

// A monitor with a clock, whose attempts are numbered.
struct watched_links
{
    void fail_at(const std::string& server)
    {
        links.attempt_started(++last, milliseconds(80), now);
        links.attempt_ended(last, attempt_evidence::unreached, server_id(server), now);
    }

    void reach(const std::string& server)
    {
        links.attempt_started(++last, milliseconds(80), now);
        links.attempt_ended(last, attempt_evidence::reached, server_id(server), now);
    }

    void pass(duration span)
    {
        now += span;
        links.check_silence(now);
    }

    void lose()
    {
        fail_at("a");
        fail_at("b");
        REQUIRE(links.begin_round(now) == 4);
        links.end_round({4, 0, false}, now);
        REQUIRE(links.state() == link_state::lost);
    }

    link_monitor links;
    time_point now = start;
    std::uint64_t last = 0;
};

} // namespace

// Guards against a gateway that takes one server that ended for the loss of its links.
TEST_CASE("links are suspected when several servers fail and none is reached between")
{
    watched_links it;

    SECTION("one server that fails again and again raises no suspicion")
    {
        it.fail_at("a");
        it.fail_at("a");
        it.fail_at("a");
        CHECK(it.links.state() == link_state::up);
        CHECK(it.links.begin_round(it.now) == 0);
    }
    SECTION("a server that answers in between ends it")
    {
        it.fail_at("a");
        it.reach("c");
        it.fail_at("b");
        CHECK(it.links.state() == link_state::up);
    }
    SECTION("two servers raise it, and the probes decide")
    {
        it.fail_at("a");
        it.fail_at("b");
        CHECK(it.links.state() == link_state::suspected);
        CHECK(it.links.suspicion() == link_suspicion::failures);
        REQUIRE(it.links.begin_round(it.now) == 4);
        CHECK(it.links.begin_round(it.now) == 0);

        SECTION("one accepted probe shows that the links are up")
        {
            it.links.end_round({4, 1, false}, it.now);
            CHECK(it.links.state() == link_state::up);
            it.fail_at("a");
            it.fail_at("b");
            CHECK(it.links.state() == link_state::up); // no further round for a while
            it.pass(milliseconds(1100));
            it.fail_at("a");
            CHECK(it.links.state() == link_state::suspected);
        }
        SECTION("no accepted probe shows that they are lost")
        {
            it.links.end_round({4, 0, false}, it.now);
            CHECK(it.links.state() == link_state::lost);
        }
        SECTION("a round without a known server shows nothing")
        {
            it.links.end_round({0, 0, false}, it.now);
            CHECK(it.links.state() == link_state::up);
        }
        SECTION("a late loop is not taken for a loss of the links")
        {
            for (int n = 0; n < 3; ++n)
            {
                it.links.end_round({4, 0, true}, it.now);
                CHECK(it.links.state() != link_state::lost);
                it.links.begin_round(it.now);
            }
            CHECK(it.links.state() == link_state::up);
        }
    }
}

// Guards against requests that hang until their deadlines on connections of a cut link.
TEST_CASE("links are suspected when an attempt stays without an answer")
{
    watched_links it;
    it.links.attempt_started(1001, milliseconds(80), it.now);

    SECTION("after the limit, if no server was reached since it was sent")
    {
        it.pass(milliseconds(390));
        CHECK(it.links.state() == link_state::up);
        it.pass(milliseconds(10));
        CHECK(it.links.state() == link_state::suspected);
        CHECK(it.links.suspicion() == link_suspicion::silence);
    }
    SECTION("not if another server has answered meanwhile")
    {
        it.pass(milliseconds(200));
        it.reach("b");
        it.pass(milliseconds(300));
        CHECK(it.links.state() == link_state::up);
    }
    SECTION("a server that is expected to take long has twice that time")
    {
        it.links.attempt_ended(1001, attempt_evidence::none, server_id("a"), it.now);
        it.links.attempt_started(1002, milliseconds(600), it.now);
        it.pass(milliseconds(1100));
        CHECK(it.links.state() == link_state::up);
        it.pass(milliseconds(100));
        CHECK(it.links.state() == link_state::suspected);
    }
    // Guards against requests that wait for probes at a gateway whose loop was late, and
    // which then reads the answers that had arrived (a frozen or slow process).
    SECTION("an answer while the round is in flight ends the suspicion, too")
    {
        it.pass(milliseconds(400));
        REQUIRE(it.links.begin_round(it.now) == 4);
        it.reach("b");
        CHECK(it.links.state() == link_state::up);
        it.links.end_round({4, 0, false}, it.now);
        CHECK(it.links.state() == link_state::up);
        it.fail_at("a");
        it.fail_at("c");
        CHECK(it.links.state() == link_state::suspected); // without a pause
    }
    SECTION("but not the suspicion of a crash, which the round decides")
    {
        it.links.suspect_crash();
        REQUIRE(it.links.begin_round(it.now) == 4);
        it.reach("b");
        CHECK(it.links.state() == link_state::suspected);
        it.links.end_round({4, 0, false}, it.now);
        CHECK(it.links.state() == link_state::lost);
    }
    SECTION("an answer before the round begins ends the suspicion")
    {
        it.pass(milliseconds(400));
        it.reach("b");
        CHECK(it.links.state() == link_state::up);
    }
}

// Guards against links that count as back while they lose packets.
TEST_CASE("lost links are back after several rounds in which all probes are accepted")
{
    watched_links it;
    it.lose();
    CHECK(it.links.begin_round(it.now) == 0);
    it.now += milliseconds(300);
    REQUIRE(it.links.begin_round(it.now) == 2);
    it.links.end_round({2, 2, false}, it.now);
    CHECK(it.links.state() == link_state::lost);
    it.now += milliseconds(300);
    REQUIRE(it.links.begin_round(it.now) == 2);

    SECTION("a second such round brings them back")
    {
        it.links.end_round({2, 2, false}, it.now);
        CHECK(it.links.state() == link_state::up);
        CHECK(!it.links.needs_timer());
    }
    SECTION("a probe that fails starts the count again")
    {
        it.links.end_round({2, 1, false}, it.now);
        it.now += milliseconds(300);
        it.links.begin_round(it.now);
        it.links.end_round({2, 2, false}, it.now);
        CHECK(it.links.state() == link_state::lost);
    }
}
