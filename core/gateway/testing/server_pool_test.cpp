#include "core/gateway/server_pool.hpp"
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
        made.seen = now;
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

    std::optional<server_choice> choose(server_wish wish = {})
    {
        return pool.choose(wish, random, now);
    }

    // Chooses and keeps the request there.
    std::string place()
    {
        const std::optional<server_choice> to = choose();
        if (!to)
        {
            return "none";
        }
        pool.started(to->server);
        return to->server.str();
    }

    void end(const char* id, attempt_end how, duration elapsed = milliseconds(100))
    {
        server_choice to;
        to.server = server_id(id);
        pool.ended(to, how, elapsed, now);
    }

    time_point now{seconds(100)};
    std::deque<known_server> servers;
    server_pool pool;
    std::minstd_rand random{7};
};

} // namespace

TEST_CASE("a pool uses its own data centre first, while there is room")
{
    pool_fixture fixture;
    fixture.add("near", here);
    fixture.add("far", there);

    SECTION("free slots here are filled before those there")
    {
        CHECK(fixture.place() == "near");
        CHECK(fixture.place() == "near");
        CHECK(fixture.place() == "near");
    }
    SECTION("a request does not wait here for long while slots there are free")
    {
        unsigned far = 0;
        for (int n = 0; n < 8; ++n)
        {
            far += fixture.place() == "far" ? 1 : 0;
        }
        CHECK(far >= 3);
    }
    SECTION("what other gateways have there counts")
    {
        remote_loads loads;
        loads.take({1, 1, {{tag_of(server_id("near")), 12}}}, fixture.now);
        fixture.pool.set_remote_loads(loads, 2);
        CHECK(fixture.place() == "far");
    }
}

TEST_CASE("a pool leaves servers alone that fail, and comes back")
{
    pool_fixture fixture;
    fixture.add("a", here);
    fixture.add("b", here);
    fixture.end("a", attempt_end::unreachable);

    SECTION("a server that was not reached gets nothing for a while")
    {
        for (int n = 0; n < 10; ++n)
        {
            CHECK(fixture.place() == "b");
        }
    }
    SECTION("then it gets one request at a time, until one is answered")
    {
        fixture.now += milliseconds(301);
        for (int n = 0; n < 12; ++n)
        {
            fixture.pool.started(server_id("b"));
        }
        CHECK(fixture.place() == "a");
        CHECK(fixture.place() == "b");
        fixture.end("a", attempt_end::answered);
        CHECK(fixture.place() == "a");
        CHECK(fixture.place() == "a");
    }
    SECTION("each failure doubles the time, up to a bound")
    {
        for (int n = 0; n < 10; ++n)
        {
            fixture.end("a", attempt_end::lost);
        }
        fixture.end("b", attempt_end::unreachable);
        fixture.now += milliseconds(1999);
        CHECK(fixture.choose()->server == server_id("b"));
        fixture.now += milliseconds(1);
        CHECK(fixture.pool.usable(fixture.now) == 2);
    }
    SECTION("all suspended: the one that is to return first is tried")
    {
        fixture.now += milliseconds(10);
        fixture.end("b", attempt_end::unreachable);
        CHECK(fixture.choose()->server == server_id("a"));
    }
    SECTION("one failed answer does not suspend a server, two in a row do")
    {
        fixture.end("b", attempt_end::server_error);
        CHECK(fixture.choose()->server == server_id("b"));
        fixture.end("b", attempt_end::answered);
        fixture.end("b", attempt_end::server_error);
        CHECK(fixture.pool.usable(fixture.now) == 1);
        fixture.end("b", attempt_end::server_error);
        CHECK(fixture.pool.usable(fixture.now) == 0);
    }
}

TEST_CASE("a pool keeps to the owner of a key, also where that is suspended")
{
    pool_fixture fixture;
    fixture.add("a", here);
    fixture.add("b", here);
    fixture.end("a", attempt_end::shed);
    server_wish wish;
    wish.owner = server_id("a");
    CHECK(fixture.choose(wish)->server == server_id("a"));
    wish.owner = server_id("unknown");
    CHECK_FALSE(fixture.choose(wish));
}

TEST_CASE("a pool expects later answers where requests wait")
{
    pool_fixture fixture;
    fixture.add("a", here);
    const duration alone = fixture.choose()->expected;
    for (int n = 0; n < 9; ++n)
    {
        fixture.place();
    }
    // Three slots, nine requests: a new one waits for the time of 7/3 of them.
    CHECK(fixture.choose()->expected.count() ==
          Approx(static_cast<double>(alone.count()) * (1 + 7.0 / 3)).epsilon(0.01));

    SECTION("the time of the work is learnt without the wait")
    {
        const server_choice to = *fixture.choose();
        for (int n = 0; n < 200; ++n)
        {
            fixture.pool.ended(to, attempt_end::answered, to.expected, fixture.now);
        }
        CHECK(fixture.pool.capacity(server_id("a")) ==
              Approx(3e6 / static_cast<double>(alone.count())).epsilon(0.02));
    }
}

TEST_CASE("a pool follows the directory")
{
    pool_fixture fixture;
    fixture.add("a", here);
    fixture.place();

    SECTION("a server that drains gets nothing more, and its requests still end")
    {
        fixture.servers.front().entry.is_draining = true;
        fixture.update();
        CHECK_FALSE(fixture.choose());
        CHECK(fixture.pool.in_flight(server_id("a")) == 1);
        fixture.end("a", attempt_end::answered);
        CHECK(fixture.pool.in_flight(server_id("a")) == 0);
    }
    SECTION("a new life under the id starts with nothing")
    {
        ++fixture.servers.front().entry.life.started_ms;
        fixture.update();
        CHECK(fixture.pool.in_flight(server_id("a")) == 0);
    }
}

TEST_CASE("a pool uses a server that fails every other request when the others are busy")
{
    pool_fixture fixture;
    fixture.add("grey", here);
    fixture.add("sound", here);
    for (int n = 0; n < 40; ++n)
    {
        fixture.end("grey",
                    n % 2 == 0 ? attempt_end::server_error : attempt_end::answered);
    }
    std::vector<std::string> placed;
    for (int n = 0; n < 10; ++n)
    {
        placed.push_back(fixture.place());
    }
    CHECK(std::count(placed.begin(), placed.begin() + 3, "sound") == 3);
    CHECK(std::count(placed.begin(), placed.end(), "grey") >= 1);

    SECTION("and forgets its failures after some seconds")
    {
        fixture.now += seconds(15);
        CHECK(fixture.place() == "grey");
    }
}

TEST_CASE("a pool gives a server that has just started less until it is warm")
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

TEST_CASE(
    "a large fleet: a pool uses the servers of its group, others for what does not fit")
{
    pool_fixture fixture;
    fixture.add("ours", here);
    fixture.add("theirs", here);
    fixture.pool.set_near({server_id("ours")});

    SECTION("free slots of its own come first")
    {
        CHECK(fixture.place() == "ours");
        CHECK(fixture.place() == "ours");
        CHECK(fixture.place() == "ours");
    }
    SECTION("a wait of its own is shortened elsewhere")
    {
        unsigned theirs = 0;
        for (int n = 0; n < 8; ++n)
        {
            theirs += fixture.place() == "theirs" ? 1 : 0;
        }
        CHECK(theirs >= 3);
    }
    SECTION("at a crest the others are no less busy, though nobody tells of it")
    {
        remote_loads loads;
        loads.take({1, 1, {{tag_of(server_id("ours")), 30}}}, fixture.now);
        fixture.pool.set_remote_loads(loads, 2);
        CHECK(fixture.choose()->server == server_id("ours"));
        CHECK(fixture.choose({{server_id("ours")}, {}})->load == 30);
    }
}

TEST_CASE("a server that leaves keeps its keys for a while, not until it is gone")
{
    pool_fixture fixture;
    fixture.add("s", here);
    fixture.servers.back().entry.is_draining = true;
    fixture.servers.back().drains_since = fixture.now;
    fixture.update();
    const server_wish owner{{}, server_id("s")};
    CHECK(fixture.choose(owner));
    CHECK_FALSE(fixture.choose());

    SECTION("an assigner that is late does not keep it in use")
    {
        fixture.now += milliseconds(1000);
        CHECK_FALSE(fixture.choose(owner));
    }
    SECTION("the same where its entry is gone")
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

TEST_CASE("an owner that refuses its keys gets few requests: another server may be there")
{
    pool_fixture fixture;
    fixture.add("s", here);
    const server_wish owner{{}, server_id("s")};
    auto refuse = [&]
    {
        fixture.pool.started(server_id("s"));
        fixture.end("s", attempt_end::not_owner);
    };
    refuse();
    refuse();
    CHECK(fixture.choose(owner));
    refuse();
    CHECK_FALSE(fixture.choose(owner));

    SECTION("one request at a time tries again")
    {
        fixture.now += milliseconds(100);
        CHECK(fixture.choose(owner));
        fixture.pool.started(server_id("s"));
        CHECK_FALSE(fixture.choose(owner));

        AND_THEN("one that is taken ends the doubt")
        {
            fixture.end("s", attempt_end::answered);
            CHECK(fixture.choose(owner));
        }
        AND_THEN("each refusal makes the pause longer")
        {
            fixture.end("s", attempt_end::not_owner);
            fixture.now += milliseconds(100);
            CHECK_FALSE(fixture.choose(owner));
            fixture.now += milliseconds(100);
            CHECK(fixture.choose(owner));
        }
    }
    SECTION("in four seconds it refuses a tenth of what a hundred requests a second "
            "would bring")
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
