#include "core/gateway/owners/testing/assigner_fixture.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

constexpr duration short_hold = milliseconds(2500);
constexpr duration longest_wait = milliseconds(1500 + 9800); // without a bound

// Runs until s0 has lost key 0 to another server; returns how long that took.
duration time_until_moved(assigner_fixture& fixture)
{
    const time_point started_at = fixture.now;
    while ((fixture.owner(0) == "s0" || fixture.owner(0).empty()) &&
           fixture.now < started_at + seconds(20))
    {
        fixture.run(milliseconds(10));
    }
    return fixture.now - started_at;
}

void lose_first_server(assigner_fixture& fixture)
{
    fixture.answer = [](const key_order& it)
    {
        const bool is_lost = it.server == server_id("s0");
        return order_result{is_lost ? order_end::not_sent : order_end::accepted, ""};
    };
}

void begin_leaving(assigner_fixture& fixture, const char* id)
{
    listed_server leaving = fixture.directory.find(server_id(id))->entry;
    leaving.is_draining = true;
    fixture.directory.put(leaving, fixture.now);
}

} // namespace

// Guards against keys that nobody serves for 11.5 s after each loss of the assigner: a
// successor waited for a long grant that a killed assigner had never given.
TEST_CASE(
    "an assigner soon moves the keys of a lost server if its predecessor was killed")
{
    assigner_fixture first(5);
    first.run(seconds(4));
    REQUIRE(first.bounds.size() == 1);
    const grant_bound bound = first.bounds.front();
    CHECK(bound == grant_bound{instance_id("g1"), 1, short_hold, {}});
    assigner_fixture second(5, first.records.back(), bound);

    SECTION("within 5 s if other owners prove that there was no long grant")
    {
        lose_first_server(second);
        CHECK(time_until_moved(second) < seconds(5));
        CHECK(second.assigner.has_proved_bound());
    }
    SECTION("the same for a server that leaves")
    {
        begin_leaving(second, "s0");
        CHECK(time_until_moved(second) < seconds(5));
    }
    SECTION("not before a short grant of the predecessor has expired")
    {
        lose_first_server(second);
        CHECK(time_until_moved(second) >= milliseconds(1500) + short_hold);
    }
    SECTION("sooner if the predecessor's gateway started again before")
    {
        lose_first_server(second);
        second.run(milliseconds(100));
        const assigner_restart restart{instance_id("g1"), 1, milliseconds(900)};
        CHECK(second.assigner.predecessor_restarted(restart, second.now));
        CHECK(time_until_moved(second) < milliseconds(2800));
    }
    SECTION("but after a long one could have expired, if owners refuse the old epochs")
    {
        second.answer = [](const key_order& it)
        {
            const bool is_lost = it.server == server_id("s0");
            const bool is_old = it.at.value < 1000;
            return order_result{is_lost  ? order_end::not_sent
                                : is_old ? order_end::stale
                                         : order_end::accepted,
                                ""};
        };
        CHECK(time_until_moved(second) > longest_wait);
    }
    SECTION("nor if the bound is that of another term")
    {
        assigner_fixture third(
            5, first.records.back(), grant_bound{instance_id("g1"), 2, short_hold, {}});
        lose_first_server(third);
        CHECK(time_until_moved(third) > longest_wait);
    }
    SECTION("also if that one has itself just taken over from another that was killed")
    {
        second.run(seconds(1));
        REQUIRE(second.bounds.size() == 1);
        const grant_bound next = second.bounds.back();
        CHECK(next.term == 2);
        CHECK(next.earlier_left > seconds(10));

        AND_THEN("it waits for what may be left of earlier grants")
        {
            assigner_fixture third(5, second.records.back(), next);
            lose_first_server(third);
            CHECK(time_until_moved(third) >= next.earlier_left);
        }
        AND_THEN("it waits less if that one had the proof already")
        {
            second.run(seconds(4));
            const grant_bound last = second.bounds.back();
            CHECK(last.earlier_left < seconds(3));
            assigner_fixture third(5, second.records.back(), last);
            lose_first_server(third);
            CHECK(time_until_moved(third) < seconds(5));
        }
    }
    SECTION("it states its own bound again only when earlier grants are gone sooner")
    {
        second.run(seconds(20));
        CHECK(second.bounds.size() <= 4);
    }
}

// Guards against two owners of a key: a long grant that a successor cannot know of.
TEST_CASE("an assigner that has stated a bound gives long grants only after a notice")
{
    assigner_fixture fixture(5);
    fixture.run(seconds(4));
    REQUIRE(fixture.bounds.size() == 1);
    unsigned silent = 0; // the first servers, which do not answer
    fixture.answer = [&](const key_order& it)
    {
        const bool is_silent = it.server.str() < "s" + std::to_string(silent);
        return order_result{is_silent ? order_end::no_answer : order_end::accepted, ""};
    };
    fixture.is_renewing = false;
    // The number of owners that had accepted an epoch above the record's before the first
    // long grant; empty if there was none.
    auto noticed_before_long = [&]() -> std::optional<std::size_t>
    {
        const key_assignment record = fixture.records.back();
        fixture.orders.clear();
        fixture.run(seconds(2));
        std::set<server_id> noticed;
        for (const key_order& it : fixture.orders)
        {
            if (it.hold_time > short_hold)
            {
                return noticed.size();
            }
            const epoch before =
                record.find(valves, shard_key{it.keys.first})->grant_epoch;
            const bool is_noticed = it.at > before;
            noticed.insert(is_noticed ? it.server : server_id());
            noticed.erase(server_id());
        }
        return std::nullopt;
    };

    SECTION("which two thirds of the owners have accepted before")
    {
        CHECK(noticed_before_long().value_or(0) >= 4);
    }
    SECTION("and after a record with the epochs of a notice only after another one")
    {
        fixture.run(milliseconds(700));
        fixture.is_renewing = true;
        fixture.run(seconds(3));
        fixture.is_renewing = false;
        CHECK(noticed_before_long().value_or(0) >= 4);
    }
    SECTION("also while a record is due that the store does not take")
    {
        fixture.accepts_records = false;
        fixture.answer = [](const key_order& it)
        {
            const bool is_stale = it.server == server_id("s4");
            return order_result{is_stale ? order_end::stale : order_end::accepted, ""};
        };
        CHECK(noticed_before_long().value_or(0) >= 4);
    }
    SECTION("and none if too few owners answer")
    {
        silent = 2;
        fixture.run(seconds(2));
        CHECK(fixture.orders.back().hold_time == short_hold);
    }
    SECTION("then its next record is of a new term, which has no bound")
    {
        fixture.run(seconds(1));
        fixture.is_renewing = true;
        fixture.run(seconds(3));
        CHECK(fixture.records.back().version.term == 2);
        CHECK(fixture.bounds.size() == 1);

        AND_THEN("until its long grants have expired")
        {
            fixture.run(seconds(10));
            REQUIRE(fixture.bounds.size() == 2);
            CHECK(fixture.bounds.back().term == 2);
        }
    }
    SECTION("a notice without long grants leaves the term and its bound")
    {
        fixture.run(milliseconds(700));
        fixture.is_renewing = true;
        fixture.run(seconds(3));
        CHECK(fixture.records.size() > 1);
        CHECK(fixture.records.back().version.term == 1);
        CHECK(fixture.orders.back().hold_time == short_hold);
    }
}

// Guards against keys that wait 10 s for the long grants of an assigner that alone was
// cut off from the store, though another one was elected at once.
TEST_CASE("an assigner gives no long grants while the store answers another gateway")
{
    const bool has_bound = GENERATE(true, false);
    assigner_fixture fixture(5);
    fixture.run(has_bound ? seconds(4) : duration(milliseconds(1300)));
    fixture.is_renewing = false;
    bool is_answered = true;
    auto check_store = [&]
    {
        if (!fixture.assigner.needs_store_check(fixture.now))
        {
            return;
        }
        fixture.assigner.store_check_begun(fixture.now);
        if (is_answered)
        {
            fixture.assigner.store_answered_other(fixture.now);
        }
    };
    auto run = [&](duration span)
    {
        for (const time_point end = fixture.now + span; fixture.now < end;)
        {
            check_store();
            fixture.run(milliseconds(10));
        }
    };
    auto has_long_grants = [&]
    {
        return std::any_of(fixture.orders.begin(),
                           fixture.orders.end(),
                           [](const key_order& it) { return it.hold_time > short_hold; });
    };

    SECTION("none at all")
    {
        run(seconds(2));
        CHECK_FALSE(has_long_grants());
    }
    SECTION("but it does if the store stops to answer that one, too")
    {
        run(milliseconds(700));
        is_answered = false;
        run(milliseconds(700));
        CHECK(has_long_grants());
    }
    SECTION("and it does if nobody says that the store answers")
    {
        is_answered = false;
        run(milliseconds(1400));
        CHECK(has_long_grants());
    }
}

// Guards against two owners of a key: a server that names a limit gets longer grants.
TEST_CASE(
    "an assigner renews grants more slowly for a limit only in a term without bound")
{
    assigner_fixture fixture(5);
    fixture.run(seconds(4));
    REQUIRE(fixture.bounds.size() == 1);
    fixture.limits[server_id("s0")] = 2;
    fixture.run(seconds(3));
    CHECK(fixture.records.back().version.term == 2);
    CHECK(std::any_of(fixture.orders.begin(),
                      fixture.orders.end(),
                      [](const key_order& it) { return it.hold_time > short_hold; }));
    CHECK(fixture.bounds.size() == 1);
}
