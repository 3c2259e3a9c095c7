#include "core/gateway/servers/server_pool.hpp"
#include "testing/test_headers.hpp"

#include <deque>

using namespace camphorrock;

namespace
{

const data_centre here("here");
const data_centre there("there");

struct pool_fixture
{
    pool_fixture() : pool(here) {}

    void add(const char* id, const data_centre& zone)
    {
        known_server made;
        made.entry.id = server_id(id);
        made.entry.zone = zone;
        made.entry.slots = 3;
        made.entry_received_at = now;
        servers.push_back(made);
        update();
    }

    void update()
    {
        std::vector<const known_server*> list;
        for (const known_server& it : servers)
        {
            list.push_back(&it);
        }
        pool.update(list, now);
    }

    std::optional<server_choice> choose(server_criteria criteria = {})
    {
        return pool.choose(criteria, random, now);
    }

    // Chooses a server and starts an attempt there that does not end.
    std::string place()
    {
        const std::optional<server_choice> to = choose();
        if (!to)
        {
            return "none";
        }
        pool.attempt_started(*to, now);
        return to->server.str();
    }

    void start(const char* id)
    {
        server_choice to;
        to.server = server_id(id);
        pool.attempt_started(to, now);
    }

    void end(const char* id, attempt_end how, duration elapsed = milliseconds(100))
    {
        server_choice to;
        to.server = server_id(id);
        pool.attempt_ended(to, how, elapsed, now);
    }

    time_point now{seconds(100)};
    std::deque<known_server> servers;
    server_pool pool;
    std::minstd_rand random{7};
};

} // namespace

TEST_CASE("a pool prefers servers of its own data centre while they have room")
{
    pool_fixture fixture;
    fixture.add("near", here);
    fixture.add("far", there);

    SECTION("free local slots are used before remote ones")
    {
        CHECK(fixture.place() == "near");
        CHECK(fixture.place() == "near");
        CHECK(fixture.place() == "near");
    }
    SECTION("requests go to free remote slots instead of a long local queue")
    {
        unsigned far = 0;
        for (int n = 0; n < 8; ++n)
        {
            far += fixture.place() == "far" ? 1 : 0;
        }
        CHECK(far >= 3);
    }
    SECTION("requests of other gateways count as load")
    {
        remote_loads loads;
        loads.add_report({1, 1, {{tag_of(server_id("near")), 12}}}, fixture.now);
        fixture.pool.set_remote_loads(loads, 2);
        CHECK(fixture.place() == "far");
    }
}

TEST_CASE("a pool suspends servers that fail and later tries them again")
{
    pool_fixture fixture;
    fixture.add("a", here);
    fixture.add("b", here);
    fixture.end("a", attempt_end::unreachable);

    SECTION("an unreachable server gets no requests while it is suspended")
    {
        for (int n = 0; n < 10; ++n)
        {
            CHECK(fixture.place() == "b");
        }
    }
    SECTION("after the suspension it gets one request at a time until one is answered")
    {
        fixture.now += milliseconds(301);
        for (int n = 0; n < 12; ++n)
        {
            fixture.start("b");
        }
        CHECK(fixture.place() == "a");
        CHECK(fixture.place() == "b");
        fixture.end("a", attempt_end::answered);
        CHECK(fixture.place() == "a");
        CHECK(fixture.place() == "a");
    }
    SECTION("each failure doubles the suspension, up to its maximum")
    {
        for (int n = 0; n < 10; ++n)
        {
            fixture.end("a", attempt_end::lost);
        }
        fixture.end("b", attempt_end::unreachable);
        fixture.now += milliseconds(1999);
        CHECK(fixture.choose()->server == server_id("b"));
        fixture.now += milliseconds(1);
        CHECK(fixture.pool.usable_count(fixture.now) == 2);
    }
    SECTION("if all are suspended, the one whose suspension ends first is chosen")
    {
        fixture.now += milliseconds(10);
        fixture.end("b", attempt_end::unreachable);
        CHECK(fixture.choose()->server == server_id("a"));
    }
    SECTION("one server error does not suspend a server, two consecutive ones do")
    {
        fixture.end("b", attempt_end::server_error);
        CHECK(fixture.choose()->server == server_id("b"));
        fixture.end("b", attempt_end::answered);
        fixture.end("b", attempt_end::server_error);
        CHECK(fixture.pool.usable_count(fixture.now) == 1);
        fixture.end("b", attempt_end::server_error);
        CHECK(fixture.pool.usable_count(fixture.now) == 0);
    }
}

TEST_CASE("a pool chooses only the owner of a key, even if it has shed a request")
{
    pool_fixture fixture;
    fixture.add("a", here);
    fixture.add("b", here);
    fixture.end("a", attempt_end::shed);
    server_criteria criteria;
    criteria.owner = server_id("a");
    CHECK(fixture.choose(criteria)->server == server_id("a"));
    criteria.owner = server_id("unknown");
    CHECK_FALSE(fixture.choose(criteria));
}

TEST_CASE("the expected latency includes the queueing time")
{
    pool_fixture fixture;
    fixture.add("a", here);
    const duration alone = fixture.choose()->expected_latency;
    for (int n = 0; n < 9; ++n)
    {
        fixture.place();
    }
    // With three slots and nine requests in flight, a new one queues for 7/3 of the
    // service time.
    CHECK(fixture.choose()->expected_latency.count() ==
          Approx(static_cast<double>(alone.count()) * (1 + 7.0 / 3)).epsilon(0.01));

    SECTION("the measured service time excludes the queueing time")
    {
        const server_choice to = *fixture.choose();
        for (int n = 0; n < 200; ++n)
        {
            fixture.pool.attempt_ended(
                to, attempt_end::answered, to.expected_latency, fixture.now);
        }
        CHECK(fixture.pool.capacity(server_id("a"), fixture.now) ==
              Approx(3e6 / static_cast<double>(alone.count())).epsilon(0.02));
    }
}

// Guards against an owner that loses its keys for good after it was slow: without keys it
// gets no requests, whose answers would show that it is fast again.
TEST_CASE("the capacity of a server without answers returns to that of its service")
{
    pool_fixture fixture;
    fixture.add("a", here);
    fixture.add("b", here);
    for (int n = 0; n < 30; ++n)
    {
        fixture.end("a", attempt_end::answered, seconds(1));
    }
    for (int n = 0; n < 200; ++n)
    {
        fixture.end("b", attempt_end::answered);
    }
    const auto capacity = [&](const char* id)
    {
        return fixture.pool.capacity(server_id(id), fixture.now);
    };
    REQUIRE(capacity("a") < 0.5 * capacity("b"));
    fixture.now += seconds(10);
    fixture.end("b", attempt_end::answered);
    CHECK(capacity("a") > 0.95 * capacity("b"));
}

TEST_CASE("a pool follows changes of the directory")
{
    pool_fixture fixture;
    fixture.add("a", here);
    fixture.place();

    SECTION("a draining server gets no more requests, and those in flight still end")
    {
        fixture.servers.front().entry.is_draining = true;
        fixture.update();
        CHECK_FALSE(fixture.choose());
        CHECK(fixture.pool.in_flight(server_id("a")) == 1);
        fixture.end("a", attempt_end::answered);
        CHECK(fixture.pool.in_flight(server_id("a")) == 0);
    }
    SECTION("a new incarnation starts with no requests in flight")
    {
        ++fixture.servers.front().entry.incarnation.started_ms;
        fixture.update();
        CHECK(fixture.pool.in_flight(server_id("a")) == 0);
    }
}

TEST_CASE("a server that fails every other request is used when the others are busy")
{
    pool_fixture fixture;
    fixture.add("flaky", here);
    fixture.add("healthy", here);
    for (int n = 0; n < 40; ++n)
    {
        fixture.end("flaky",
                    n % 2 == 0 ? attempt_end::server_error : attempt_end::answered);
    }
    std::vector<std::string> placed;
    for (int n = 0; n < 10; ++n)
    {
        placed.push_back(fixture.place());
    }
    CHECK(std::count(placed.begin(), placed.begin() + 3, "healthy") == 3);
    CHECK(std::count(placed.begin(), placed.end(), "flaky") >= 1);

    SECTION("its failure rate decays within some seconds")
    {
        fixture.now += seconds(15);
        CHECK(fixture.place() == "flaky");
    }
}

TEST_CASE("a server gets fewer requests during its warm-up")
{
    pool_fixture fixture;
    fixture.add("warm", here);
    fixture.add("cold", here);
    fixture.servers.back().entry.warm_up_left = seconds(3);
    fixture.update();
    unsigned cold = 0;
    for (int n = 0; n < 12; ++n)
    {
        cold += fixture.place() == "cold" ? 1 : 0;
    }
    CHECK(cold >= 2);
    CHECK(cold < 6);
    fixture.now += seconds(3);
    CHECK(fixture.place() == "cold");
}

TEST_CASE("in a large fleet, a pool prefers in-group servers and uses others when those "
          "are busy")
{
    pool_fixture fixture;
    fixture.add("ours", here);
    fixture.add("theirs", here);
    fixture.pool.set_group_servers({server_id("ours")});

    SECTION("free in-group slots are used first")
    {
        CHECK(fixture.place() == "ours");
        CHECK(fixture.place() == "ours");
        CHECK(fixture.place() == "ours");
    }
    SECTION("requests go to out-of-group servers instead of a long in-group queue")
    {
        unsigned theirs = 0;
        for (int n = 0; n < 8; ++n)
        {
            theirs += fixture.place() == "theirs" ? 1 : 0;
        }
        CHECK(theirs >= 3);
    }
    SECTION("at a peak, out-of-group servers count as busy although no load is reported")
    {
        remote_loads loads;
        loads.add_report({1, 1, {{tag_of(server_id("ours")), 30}}}, fixture.now);
        fixture.pool.set_remote_loads(loads, 2);
        CHECK(fixture.choose()->server == server_id("ours"));
        CHECK(fixture.choose({{server_id("ours")}, {}})->load == 30);
    }
}

TEST_CASE("a leaving server is chosen for its keys for a limited time only")
{
    pool_fixture fixture;
    fixture.add("s", here);
    fixture.servers.back().entry.is_draining = true;
    fixture.servers.back().draining_since = fixture.now;
    fixture.update();
    const server_criteria owner{{}, server_id("s")};
    CHECK(fixture.choose(owner));
    CHECK_FALSE(fixture.choose());

    SECTION(
        "after the limit it is not chosen, even if the assigner has not moved its keys")
    {
        fixture.now += milliseconds(1000);
        CHECK_FALSE(fixture.choose(owner));
    }
    SECTION(
        "the limit of a server without an entry counts from the end of its grace period")
    {
        fixture.servers.back().entry.is_draining = false;
        fixture.servers.back().is_missing = true;
        fixture.servers.back().gone_at = fixture.now + milliseconds(1600);
        fixture.update();
        fixture.now += milliseconds(2400);
        CHECK(fixture.choose(owner));
        fixture.now += milliseconds(200);
        CHECK_FALSE(fixture.choose(owner));
    }
}

TEST_CASE("a key owner that refuses its keys is suspected and gets few requests")
{
    pool_fixture fixture;
    fixture.add("s", here);
    const server_criteria owner{{}, server_id("s")};
    auto refuse = [&]
    {
        fixture.start("s");
        fixture.end("s", attempt_end::not_owner);
    };
    refuse();
    refuse();
    CHECK(fixture.choose(owner));
    refuse();
    CHECK_FALSE(fixture.choose(owner));

    SECTION("after a pause, it gets one request at a time")
    {
        fixture.now += milliseconds(100);
        CHECK(fixture.choose(owner));
        fixture.start("s");
        CHECK_FALSE(fixture.choose(owner));

        AND_THEN("an accepted request ends the suspicion")
        {
            fixture.end("s", attempt_end::answered);
            CHECK(fixture.choose(owner));
        }
        AND_THEN("a further refusal doubles the pause")
        {
            fixture.end("s", attempt_end::not_owner);
            fixture.now += milliseconds(100);
            CHECK_FALSE(fixture.choose(owner));
            fixture.now += milliseconds(100);
            CHECK(fixture.choose(owner));
        }
    }
    SECTION(
        "at 100 requests per second for four seconds, it gets at most a tenth of them")
    {
        unsigned sent = 0;
        for (int n = 0; n < 400; ++n)
        {
            fixture.now += milliseconds(10);
            if (fixture.choose(owner))
            {
                refuse();
                ++sent;
            }
        }
        CHECK(sent <= 40);
    }
}

// Guards against requests to a server that asked for none for a while (BUDGET).
TEST_CASE("a server that asked for a pause gets nothing until its end")
{
    pool_fixture fixture;
    fixture.add("asks", here);
    fixture.add("other", there);
    fixture.pool.pause(server_id("asks"), milliseconds(1500), fixture.now);
    const server_criteria owned{{}, server_id("asks"), {}};

    SECTION("other servers of the service take over")
    {
        for (int n = 0; n < 20; ++n)
        {
            CHECK(fixture.place() == "other");
        }
        CHECK_FALSE(fixture.pool.wait_left({{server_id("asks")}, {}, {}}, fixture.now));
    }
    SECTION("not even requests for its keys, and how long it lasts is known")
    {
        CHECK_FALSE(fixture.choose(owned));
        CHECK(fixture.pool.wait_left(owned, fixture.now) ==
              pool_wait{milliseconds(1500), false});
        fixture.now += milliseconds(1499);
        CHECK_FALSE(fixture.choose(owned));
        fixture.now += milliseconds(1);
        CHECK(fixture.choose(owned));
        CHECK_FALSE(fixture.pool.wait_left(owned, fixture.now));
    }
    SECTION("a shorter pause does not end a longer one")
    {
        fixture.pool.pause(server_id("asks"), milliseconds(100), fixture.now);
        fixture.now += milliseconds(200);
        CHECK(fixture.pool.is_paused(server_id("asks"), fixture.now));
    }
    SECTION("after its end, one request tests it before others follow")
    {
        fixture.now += milliseconds(1500);
        CHECK(fixture.place() == "asks");
        CHECK_FALSE(fixture.choose(owned));
        CHECK(fixture.place() == "other");
        fixture.end("asks", attempt_end::answered);
        CHECK(fixture.choose(owned));
    }
    SECTION("the earliest end counts where all servers are paused")
    {
        fixture.pool.pause(server_id("other"), milliseconds(400), fixture.now);
        CHECK_FALSE(fixture.choose());
        CHECK(fixture.pool.wait_left({}, fixture.now) ==
              pool_wait{milliseconds(400), false});
    }
}

// Guards against requests above the rate limit of a server while others have room
// (LIMIT).
TEST_CASE("a server whose rate limit is reached gets nothing until a token is due")
{
    pool_fixture fixture;
    fixture.add("limited", here);
    fixture.add("other", there);
    const server_criteria owned{{}, server_id("limited"), {}};
    fixture.pool.note_limit_reached(server_id("limited"),
                                    fixture.now + milliseconds(300));

    SECTION("other servers of the service take over")
    {
        for (int n = 0; n < 20; ++n)
        {
            CHECK(fixture.place() == "other");
        }
    }
    SECTION("a request for its key learns how long it would wait, and for what")
    {
        CHECK_FALSE(fixture.choose(owned));
        CHECK(fixture.pool.wait_left(owned, fixture.now) ==
              pool_wait{milliseconds(300), true});
        fixture.now += milliseconds(300);
        CHECK(fixture.choose(owned));
    }
    SECTION("another limit, or none any more, counts at once")
    {
        fixture.pool.forget_limit_reached(server_id("limited"));
        CHECK(fixture.choose(owned));
    }
    SECTION("a pause that lasts longer goes on after the token is due")
    {
        fixture.pool.pause(server_id("limited"), seconds(1), fixture.now);
        CHECK(fixture.pool.wait_left(owned, fixture.now) == pool_wait{seconds(1), false});
        fixture.now += milliseconds(300);
        CHECK_FALSE(fixture.choose(owned));
    }
    SECTION("where all servers are limited, the first token that is due counts")
    {
        fixture.pool.note_limit_reached(server_id("other"),
                                        fixture.now + milliseconds(100));
        CHECK_FALSE(fixture.choose());
        CHECK(fixture.pool.wait_left({}, fixture.now) ==
              pool_wait{milliseconds(100), true});
    }
}
