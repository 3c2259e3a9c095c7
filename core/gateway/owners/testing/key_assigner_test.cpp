#include "core/gateway/owners/testing/assigner_fixture.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

unsigned grants_to(const assigner_fixture& fixture, const char* server)
{
    unsigned n = 0;
    for (const key_order& it : fixture.orders)
    {
        n += it.kind == order_kind::grant && it.server == server_id(server) ? 1 : 0;
    }
    return n;
}

} // namespace

TEST_CASE("the keys of a new service are divided among its servers")
{
    assigner_fixture fixture(4);
    fixture.run(seconds(3));

    THEN("each server gets a key range after the record was written")
    {
        CHECK(fixture.owner(0) == "s0");
        CHECK(fixture.owner(20000) == "s1");
        CHECK(fixture.owner(40000) == "s2");
        CHECK(fixture.owner(65535) == "s3");
        REQUIRE_FALSE(fixture.records.empty());
        CHECK(fixture.records.front().services.front().key_ranges.empty());
    }
    THEN("the published assignment changes once a record is written")
    {
        const std::uint64_t before = fixture.assigner.changes();
        listed_server leaving = fixture.directory.find(server_id("s0"))->entry;
        leaving.is_draining = true;
        fixture.directory.put(leaving, fixture.now);
        fixture.run(milliseconds(400));
        REQUIRE(fixture.assigner.changes() > before);
        CHECK(fixture.last_published == fixture.assigner.published());
    }
    THEN("grants are renewed before they expire")
    {
        const auto n = grants_to(fixture, "s0");
        CHECK(n >= 3);
        CHECK(n <= 6);
    }
    THEN("without load, no further record is written")
    {
        const std::size_t written = fixture.records.size();
        fixture.run(seconds(10));
        CHECK(fixture.records.size() == written);
    }
}

TEST_CASE("an assigner that can't renew its lease stops sending orders")
{
    assigner_fixture fixture(2);
    fixture.run(seconds(3));
    fixture.is_renewing = false;
    fixture.orders.clear();
    fixture.run(seconds(10));

    THEN("its last grants are long, so that the servers keep serving without it")
    {
        REQUIRE_FALSE(fixture.orders.empty());
        CHECK(fixture.orders.back().hold_time == milliseconds(9800));
    }
    THEN("no grant is sent after the lease has expired")
    {
        CHECK_FALSE(fixture.assigner.has_authority(fixture.now));
        const unsigned before = grants_to(fixture, "s0");
        fixture.run(seconds(5));
        CHECK(grants_to(fixture, "s0") == before);
    }
}

TEST_CASE("a store outage at any moment leaves all owners with long grants")
{
    for (int ms = 0; ms < 700; ms += 50)
    {
        assigner_fixture fixture(6);
        fixture.run(seconds(3) + milliseconds(ms));
        fixture.is_renewing = false;
        fixture.run(seconds(4));
        for (const auto& [server, until] : fixture.held_until)
        {
            CHECK(until > fixture.now + seconds(4));
        }
        CHECK(fixture.held_until.size() == 6);
    }
}

TEST_CASE("owners get long grants as soon as two renewals have failed")
{
    assigner_fixture fixture(6);
    fixture.run(seconds(3));
    fixture.is_renewing = false;
    fixture.assigner.lease_renewal_failed(fixture.now);
    fixture.run(milliseconds(20));
    CHECK(fixture.orders.back().hold_time == key_assigner_options().hold_time);
    fixture.assigner.lease_renewal_failed(fixture.now);
    fixture.run(milliseconds(20));
    for (const auto& [server, until] : fixture.held_until)
    {
        CHECK(until > fixture.now + seconds(9));
    }

    SECTION("and short ones again after a renewal")
    {
        fixture.is_renewing = true;
        fixture.run(seconds(1));
        CHECK(fixture.orders.back().hold_time == key_assigner_options().hold_time);
    }
}

TEST_CASE("no keys are taken from an owner while the store may not answer")
{
    assigner_fixture fixture(4);
    fixture.run(seconds(3));
    const std::string leaving = fixture.owner(0);
    auto leave = [&]
    {
        listed_server entry = fixture.directory.find(server_id(leaving))->entry;
        entry.is_draining = true;
        fixture.directory.put(entry, fixture.now);
        fixture.orders.clear();
    };
    auto releases = [&]
    {
        return std::count_if(fixture.orders.begin(),
                             fixture.orders.end(),
                             [](const key_order& it)
                             { return it.kind == order_kind::release; });
    };
    fixture.is_renewing = false;

    SECTION("a move that is due after the last renewal waits")
    {
        fixture.run(milliseconds(700));
        leave();
        fixture.run(milliseconds(700));
        CHECK(releases() == 0);
        CHECK(fixture.owner(0) == leaving);

        AND_THEN("it starts once the lease is renewed")
        {
            fixture.is_renewing = true;
            fixture.run(seconds(1));
            CHECK(releases() > 0);
            CHECK(fixture.owner(0) != leaving);
        }
    }
    SECTION("a move whose release has not been sent is taken back")
    {
        // A grant that is in flight keeps the release back.
        fixture.answers_orders = false;
        fixture.is_renewing = true;
        fixture.run(milliseconds(510));
        fixture.is_renewing = false;
        leave();
        fixture.run(milliseconds(400));
        CHECK(fixture.owner(0).empty());
        fixture.run(milliseconds(300));
        CHECK(fixture.owner(0) == leaving);
        CHECK(releases() == 0);
    }
}

TEST_CASE("the keys of an unreachable server move to other servers")
{
    assigner_fixture fixture(3);
    fixture.run(seconds(3));
    const std::string lost = fixture.owner(0);
    fixture.answer = [&](const key_order& it)
    {
        const bool is_lost = it.server.str() == lost;
        return order_result{is_lost ? order_end::not_sent : order_end::accepted, ""};
    };
    const time_point lost_at = fixture.now;

    SECTION("after its last grant must have expired, and within 4 s")
    {
        while (fixture.owner(0) == lost && fixture.now < lost_at + seconds(10))
        {
            fixture.run(milliseconds(10));
        }
        CHECK(fixture.now > fixture.held_until[server_id(lost)]);
        CHECK(fixture.now - lost_at < seconds(4));
        CHECK(fixture.owner(0) != lost);
    }
    // Guards against keys that nobody serves for as long as their owner is cut off from
    // the gateways but still writes its entry: each grant without an answer extended the
    // wait.
    SECTION("within 7 s if it answers no grant, though its entry stays")
    {
        fixture.answer = [](const key_order& it)
        {
            const bool is_lost = it.server == server_id("s0");
            return order_result{is_lost ? order_end::no_answer : order_end::accepted, ""};
        };
        fixture.run(seconds(7));
        CHECK(fixture.owner(0) != "s0");
        CHECK_FALSE(fixture.owner(0).empty());
    }
    SECTION("not if it leaves half of them unanswered")
    {
        unsigned turn = 0;
        fixture.answer = [&](const key_order& it)
        {
            const bool is_lost = it.server == server_id("s0") && ++turn % 2 == 0;
            return order_result{is_lost ? order_end::no_answer : order_end::accepted, ""};
        };
        fixture.run(seconds(7));
        CHECK(fixture.owner(0) == "s0");
    }
    SECTION("not if no other server answers either, and its grants stay in force")
    {
        fixture.answer = [](const key_order&)
        {
            return order_result{order_end::no_answer, ""};
        };
        fixture.run(seconds(7));
        CHECK(fixture.owner(0) == "s0");
        fixture.answer = [](const key_order&)
        {
            return order_result{order_end::accepted, ""};
        };
        fixture.run(seconds(1));
        CHECK(fixture.held_until[server_id("s0")] > fixture.now);
    }
    SECTION("within 1 s if another server has its address")
    {
        fixture.answer = [&](const key_order& it)
        {
            const bool is_lost = it.server.str() == lost;
            return order_result{is_lost ? order_end::other_server : order_end::accepted,
                                ""};
        };
        fixture.run(seconds(1));
        CHECK(fixture.owner(0) != lost);
    }
    // Guards against grants to an address that a server of another service has taken
    // over: each was taken for one that may be in force, so the keys never moved.
    SECTION("after its last grant must have expired, if its address rejects orders")
    {
        fixture.answer = [&](const key_order& it)
        {
            const bool is_lost = it.server.str() == lost;
            return order_result{is_lost ? order_end::rejected : order_end::accepted, ""};
        };
        fixture.run(milliseconds(600));
        CHECK(fixture.owner(0) == lost);
        fixture.assigner.not_owned(valves, shard_key{0}, fixture.now);
        CHECK(fixture.owner(0).empty());
        while (fixture.owner(0).empty() && fixture.now < lost_at + seconds(10))
        {
            fixture.run(milliseconds(10));
        }
        CHECK(fixture.owner(0) != lost);
        CHECK(fixture.now > fixture.held_until[server_id(lost)]);
        CHECK(fixture.now - lost_at < seconds(4));
    }
    SECTION("an owner that rejected one order and accepts the next one keeps its keys")
    {
        unsigned rejected = 0;
        fixture.answer = [&](const key_order& it)
        {
            const bool is_rejected = it.server.str() == lost && rejected == 0;
            rejected += is_rejected ? 1 : 0;
            return order_result{is_rejected ? order_end::rejected : order_end::accepted,
                                ""};
        };
        fixture.assigner.not_owned(valves, shard_key{0}, fixture.now);
        fixture.run(seconds(1));
        CHECK(rejected == 1);
        CHECK(fixture.owner(0) == lost);
    }
    SECTION("stay with a new incarnation of the server, with a higher epoch")
    {
        const epoch before =
            fixture.records.back().find(valves, shard_key{0})->grant_epoch;
        fixture.answer = [](const key_order&)
        {
            return order_result{order_end::accepted, ""};
        };
        fixture.add_server(lost, 2);
        fixture.run(milliseconds(400));
        const key_assignment all = fixture.assigner.published();
        const assigned_key_range* it = all.find(valves, shard_key{0});
        CHECK(it->owner.str() == lost);
        CHECK(it->incarnation.started_ms == 2);
        CHECK(it->grant_epoch > before);
    }
}

TEST_CASE("the keys of a draining server move to other servers")
{
    assigner_fixture fixture(3);
    fixture.run(seconds(3));
    listed_server leaving = fixture.directory.find(server_id("s0"))->entry;
    leaving.is_draining = true;
    fixture.directory.put(leaving, fixture.now);
    fixture.orders.clear();
    fixture.run(milliseconds(400));

    THEN("the server releases them first, and its state goes to the next owner")
    {
        CHECK(fixture.owner(0) != "s0");
        const auto release = std::find_if(fixture.orders.begin(),
                                          fixture.orders.end(),
                                          [](const key_order& it)
                                          { return it.kind == order_kind::release; });
        REQUIRE(release != fixture.orders.end());
        CHECK(release->server == server_id("s0"));
        CHECK(std::none_of(release,
                           fixture.orders.end(),
                           [](const key_order& it) {
                               return it.kind == order_kind::grant &&
                                      it.server == server_id("s0");
                           }));
        const auto next =
            std::find_if(release,
                         fixture.orders.end(),
                         [](const key_order& it) {
                             return it.kind == order_kind::grant && !it.handover.empty();
                         });
        REQUIRE(next != fixture.orders.end());
        CHECK(next->handover == "state");
        CHECK(next->at > release->at);
    }
}

// Guards against two owners of a key: a move back to the owner counted as a release by
// it, and still did when the record of the move back failed and the keys moved elsewhere.
TEST_CASE("keys that were to move back to their owner move elsewhere only once released")
{
    assigner_fixture fixture(2);
    fixture.run(seconds(3));
    REQUIRE(fixture.owner(0) == "s0");
    auto drain = [&](const char* id)
    {
        listed_server entry = fixture.directory.find(server_id(id))->entry;
        entry.is_draining = true;
        fixture.directory.put(entry, fixture.now);
    };
    fixture.load = [&]
    {
        fixture.assigner.add_load(valves, shard_key{100}, fixture.now);
        fixture.assigner.add_load(valves, shard_key{200}, fixture.now);
    };
    bool answers_releases = false;
    std::vector<key_order> releases;
    fixture.answer = [&](const key_order& it)
    {
        const bool is_release = it.kind == order_kind::release;
        if (is_release)
        {
            releases.push_back(it);
        }
        const bool is_answered = !is_release || answers_releases;
        return order_result{is_answered ? order_end::accepted : order_end::no_answer, ""};
    };
    fixture.add_server("s2"); // gets a part of the keys of s0
    while (releases.empty() && fixture.now < time_point(seconds(120)))
    {
        fixture.run(milliseconds(10));
    }
    REQUIRE_FALSE(releases.empty());
    REQUIRE(releases.front().server == server_id("s0"));
    const unsigned key = releases.front().keys.first;
    time_point held_by_s0_until{};
    for (std::size_t n = 0; n < fixture.orders.size(); ++n)
    {
        const key_order& it = fixture.orders[n];
        const bool is_held = it.kind == order_kind::grant &&
                             it.server == server_id("s0") &&
                             it.keys.contains(shard_key{key});
        held_by_s0_until =
            is_held ? fixture.order_times[n] + it.hold_time : held_by_s0_until;
    }
    fixture.accepts_records = false;
    drain("s2");
    fixture.run(milliseconds(310));
    const time_point left_at = fixture.now;
    auto run_until_moved = [&]
    {
        while (fixture.records.back().find(valves, shard_key{key})->owner ==
                   server_id("s0") &&
               fixture.now < left_at + seconds(10))
        {
            fixture.run(milliseconds(10));
        }
        CHECK(fixture.records.back().find(valves, shard_key{key})->owner ==
              server_id("s1"));
    };

    SECTION("or once the owner's last grant has expired, if no release is answered")
    {
        drain("s0");
        fixture.run(milliseconds(310));
        fixture.accepts_records = true;
        run_until_moved();
        CHECK(fixture.now > held_by_s0_until);
    }
    SECTION("at once after the answer to a release")
    {
        drain("s0");
        fixture.run(milliseconds(310));
        fixture.accepts_records = true;
        answers_releases = true;
        const std::size_t before = releases.size();
        run_until_moved();
        CHECK(fixture.now < held_by_s0_until);
        CHECK(std::any_of(releases.begin() + static_cast<std::ptrdiff_t>(before),
                          releases.end(),
                          [&](const key_order& it)
                          { return it.keys.contains(shard_key{key}); }));
    }
    SECTION("they stay, with a higher epoch and no other release, if the owner stays")
    {
        const std::size_t before = releases.size();
        fixture.run(milliseconds(500));
        CHECK(std::none_of(releases.begin() + static_cast<std::ptrdiff_t>(before),
                           releases.end(),
                           [&](const key_order& it)
                           { return it.keys.contains(shard_key{key}); }));
        fixture.accepts_records = true;
        fixture.run(milliseconds(100));
        const assigned_key_range* it =
            fixture.records.back().find(valves, shard_key{key});
        CHECK(it->owner == server_id("s0"));
        CHECK(it->grant_epoch > releases.front().at);
    }
}

TEST_CASE("an assigner takes over from its predecessor's record")
{
    assigner_fixture first(3);
    first.run(seconds(3));
    assigner_fixture second(3, first.records.back());

    SECTION("it renews the same grants")
    {
        second.run(milliseconds(200));
        REQUIRE_FALSE(second.orders.empty());
        const assigned_key_range* before = first.records.back().find(
            valves, shard_key{second.orders.front().keys.first});
        CHECK(second.orders.front().at == before->grant_epoch);
        CHECK(second.orders.front().server == before->owner);
    }
    SECTION("it moves keys from an unreachable server after all earlier grants expired")
    {
        second.answer = [](const key_order& it)
        {
            const bool is_lost = it.server == server_id("s0");
            return order_result{is_lost ? order_end::not_sent : order_end::accepted, ""};
        };
        const time_point started_at = second.now;
        while (second.owner(0) == "s0" && second.now < started_at + seconds(20))
        {
            second.run(milliseconds(10));
        }
        CHECK(second.now - started_at > milliseconds(1500 + 9800));
        CHECK(second.now - started_at < seconds(13));
    }
    // Guards against keys of a lost server that nobody serves for 11 s after each change
    // of the assigner.
    SECTION("or after all that the predecessor says it has granted has expired")
    {
        second.answer = [](const key_order& it)
        {
            const bool is_lost = it.server == server_id("s0");
            return order_result{is_lost ? order_end::not_sent : order_end::accepted, ""};
        };
        const time_point started_at = second.now;
        const assigner_term_end said{instance_id("g1"), 1, seconds(3), {}};
        CHECK(second.assigner.predecessor_ended(said, second.now));
        while (second.owner(0) == "s0" && second.now < started_at + seconds(20))
        {
            second.run(milliseconds(10));
        }
        CHECK(second.now - started_at >= seconds(3));
        CHECK(second.now - started_at < seconds(4));
    }
    SECTION("it uses epochs above the limit of the predecessor")
    {
        second.run(milliseconds(200));
        CHECK(second.records.front().epoch_limit > first.records.back().epoch_limit);
    }
}

// Guards against two owners of a key: a grant of the predecessor that got no answer may
// be carried out after a release that the new assigner sent.
TEST_CASE(
    "an assigner takes no keys from an owner while a predecessor's grant may be late")
{
    const duration longest_wait = seconds(12);
    assigner_fixture first(3);
    first.run(seconds(3));
    assigner_fixture second(3, first.records.back());
    listed_server leaving = second.directory.find(server_id("s0"))->entry;
    leaving.is_draining = true;
    second.directory.put(leaving, second.now);
    const time_point started_at = second.now;
    // Returns for how long s0 served the keys.
    auto run_until_moved = [&]
    {
        duration served{};
        while ((second.owner(0) == "s0" || second.owner(0).empty()) &&
               second.now < started_at + seconds(20))
        {
            second.run(milliseconds(10));
            const bool is_served = second.owner(0) == "s0" &&
                                   second.held_until[server_id("s0")] > second.now;
            served += is_served ? milliseconds(10) : milliseconds(0);
        }
        return served;
    };

    SECTION("until each of them has expired; the owner serves the keys meanwhile")
    {
        const duration served = run_until_moved();
        CHECK(second.now - started_at > milliseconds(1500 + 9800));
        CHECK(second.now - started_at < longest_wait);
        CHECK(second.now - started_at - served < milliseconds(400));
    }
    SECTION("until then, if the predecessor says when they have expired")
    {
        second.run(seconds(1));
        const assigner_term_end said{instance_id("g1"), 1, seconds(3), seconds(3)};
        CHECK(second.assigner.predecessor_ended(said, second.now));
        run_until_moved();
        CHECK(second.now - started_at >= seconds(4));
        CHECK(second.now - started_at < milliseconds(4200));
    }
    SECTION("a statement about another term, or of another gateway, has no effect")
    {
        for (const auto& [writer, term] : {std::pair("g1", 2), std::pair("g2", 1)})
        {
            const assigner_term_end said{
                instance_id(writer), static_cast<std::uint64_t>(term), {}, {}};
            CHECK_FALSE(second.assigner.predecessor_ended(said, second.now));
        }
        run_until_moved();
        CHECK(second.now - started_at > milliseconds(1500 + 9800));
    }
}

TEST_CASE("an assigner that resigns says how long its grants may still be carried out")
{
    assigner_fixture fixture(3);

    SECTION("nothing before it has written a record")
    {
        CHECK_FALSE(fixture.assigner.term_end(fixture.now));
    }
    SECTION("not at all if each grant was answered")
    {
        fixture.run(seconds(3));
        const auto said = fixture.assigner.term_end(fixture.now);
        REQUIRE(said);
        CHECK(said->writer == instance_id("g1"));
        CHECK(said->term == fixture.records.back().version.term);
        CHECK(said->unanswered_grants_left == duration::zero());
        CHECK(said->grants_left > milliseconds(2500 - 600));
        CHECK(said->grants_left < milliseconds(2600));
    }
    SECTION("until a grant that got no answer has expired, by a slow clock")
    {
        fixture.run(seconds(3));
        fixture.answer = [](const key_order&)
        {
            return order_result{order_end::no_answer, {}};
        };
        fixture.run(milliseconds(600));
        const auto said = fixture.assigner.term_end(fixture.now);
        REQUIRE(said);
        CHECK(said->unanswered_grants_left > milliseconds(2550 - 100));
    }
    SECTION("until a grant that is under way has expired")
    {
        fixture.run(seconds(3));
        fixture.answers_orders = false;
        fixture.run(milliseconds(600));
        const auto said = fixture.assigner.term_end(fixture.now);
        REQUIRE(said);
        CHECK(said->unanswered_grants_left > milliseconds(2500 - 600));
    }
    SECTION("until those of its own predecessor have expired")
    {
        fixture.run(seconds(3));
        assigner_fixture second(3, fixture.records.back());
        second.run(seconds(1));
        const auto said = second.assigner.term_end(second.now);
        REQUIRE(said);
        CHECK(said->unanswered_grants_left > milliseconds(1500 + 9800 - 1100));
    }
}

// Guards against refusals that nobody can explain: a gateway sees only that a key has no
// owner, and the assigner alone knows for what it waits.
TEST_CASE("an assigner tells for what the keys of a lost or leaving server wait")
{
    assigner_fixture first(3);
    first.run(seconds(3));
    assigner_fixture second(3, first.records.back());
    second.run(milliseconds(100));
    CHECK(second.assigner.waiting(second.view, second.now).empty());

    SECTION("for a grant of its predecessor, if the server does not answer")
    {
        second.answer = [](const key_order& it)
        {
            const bool is_lost = it.server == server_id("s0");
            return order_result{is_lost ? order_end::not_sent : order_end::accepted, ""};
        };
        second.run(seconds(1));
        const auto got = second.assigner.waiting(second.view, second.now);
        REQUIRE(got.size() == 1);
        CHECK(got[0].reason == key_wait::predecessor_grant);
        CHECK(got[0].longest.owner == server_id("s0"));
        CHECK(got[0].keys == got[0].longest.keys.width());
        CHECK(got[0].longest_left > seconds(8));
    }
    SECTION("for one of these that may be carried out late, if the server leaves")
    {
        listed_server leaving = second.directory.find(server_id("s0"))->entry;
        leaving.is_draining = true;
        second.directory.put(leaving, second.now);
        second.run(seconds(1));
        const auto got = second.assigner.waiting(second.view, second.now);
        REQUIRE(got.size() == 1);
        CHECK(got[0].reason == key_wait::predecessor_unanswered);
    }
    SECTION("for its own grant, once those of the predecessor have expired")
    {
        second.run(seconds(12));
        second.answer = [](const key_order& it)
        {
            const bool is_lost = it.server == server_id("s0");
            return order_result{is_lost ? order_end::no_answer : order_end::accepted, ""};
        };
        second.run(seconds(1));
        const auto got = second.assigner.waiting(second.view, second.now);
        REQUIRE(got.size() == 1);
        CHECK(got[0].reason == key_wait::own_grant);
    }
}

TEST_CASE("adjacent hot keys are spread over several servers")
{
    assigner_fixture fixture(4);
    fixture.run(seconds(3));
    unsigned turn = 0;
    // 100 requests a second, 90% of them for 200 adjacent keys of one owner.
    fixture.load = [&]
    {
        ++turn;
        const unsigned key =
            turn % 10 == 0 ? turn * 7919 % 65536 : 1000 + turn * 37 % 200;
        fixture.assigner.add_load(valves, shard_key{key}, fixture.now);
    };
    fixture.run(seconds(2));

    THEN("several servers own them, and a distant key of the owner has not moved")
    {
        std::set<std::string> owners;
        for (unsigned key = 1000; key < 1200; ++key)
        {
            owners.insert(fixture.owner(key));
        }
        CHECK(owners.size() >= 3);
        CHECK(fixture.owner(9000) == "s0");
    }
}

TEST_CASE("a single hot key moves to a faster server")
{
    assigner_fixture fixture(4);
    fixture.capacities = {{server_id("s0"), 30.0}, {server_id("s3"), 80.0}};
    fixture.run(seconds(3));
    unsigned turn = 0;
    // One key of the slowest server gets 60 of the 100 requests a second.
    fixture.load = [&]
    {
        ++turn;
        const unsigned key = turn % 10 < 6 ? 4711 : turn * 7919 % 65536;
        fixture.assigner.add_load(valves, shard_key{key}, fixture.now);
    };
    fixture.run(seconds(3));
    CHECK(fixture.owner(4711) == "s3");
}

TEST_CASE("adjacent key ranges of one owner are merged")
{
    key_assignment record;
    record.version = {1, 1};
    record.epoch_limit = epoch{100};
    service_key_ranges& row = record.services.emplace_back();
    row.service = valves;
    for (unsigned n = 0; n < 64; ++n)
    {
        assigned_key_range range;
        range.keys = {n * 1024, n * 1024 + 1023};
        range.owner = server_id(n < 32 ? "s0" : "s1");
        range.incarnation.started_ms = 1;
        range.grant_epoch = epoch{n + 1};
        row.key_ranges.push_back(range);
    }
    assigner_fixture fixture(2, record);
    fixture.run(seconds(3));
    CHECK(fixture.records.back().find_service(valves)->key_ranges.size() == 2);
    CHECK(fixture.owner(0) == "s0");
    CHECK(fixture.owner(65535) == "s1");
}
