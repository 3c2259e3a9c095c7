#include "core/gateway/key_assigner.hpp"
#include "testing/test_headers.hpp"

#include <deque>

using namespace camphorrock;

namespace
{

const service_name valves("valves");

// An assigner whose store answers at once, and servers that answer as they are told.
struct assigner_fixture
{
    explicit assigner_fixture(unsigned servers, const key_assignment& record = {})
        : assigner({}, record, instance_id("g1"), now)
    {
        for (unsigned n = 0; n < servers; ++n)
        {
            add_server("s" + std::to_string(n));
        }
        view.servers = &directory;
        view.keyed_services = {valves};
        view.capacity = [this](const service_name&, const listed_server& it)
        {
            auto found = capacities.find(it.id);
            return found == capacities.end() ? 40.0 : found->second;
        };
        assigner.confirmed(now);
    }

    void add_server(const std::string& id, std::uint64_t life = 1)
    {
        listed_server made;
        made.id = server_id(id);
        made.life.started_ms = life;
        made.service = valves;
        made.slots = 3;
        directory.put(made, now);
    }

    // Runs for a while; every order is answered as `answer` says, each write succeeds.
    void run(duration span)
    {
        for (const time_point end = now + span; now < end; now += milliseconds(10))
        {
            if (is_renewing)
            {
                assigner.confirmed(now);
            }
            if (load)
            {
                load();
            }
            for (const key_order& it : assigner.tick(view, now))
            {
                orders.push_back(it);
                const order_result got = answer(it);
                assigner.order_ended(it.id, got, now);
                const bool is_taken =
                    it.kind == order_kind::grant && got.end == order_end::accepted;
                if (is_taken)
                {
                    held[it.server] = now + it.hold;
                }
            }
            publish();
            if (const auto next = assigner.next_record(now))
            {
                records.push_back(*next);
                publish();
                assigner.record_written(now);
            }
        }
    }

    // As a program does: once for each change that it is told of.
    void publish()
    {
        if (assigner.changes() != published_changes)
        {
            published_changes = assigner.changes();
            last_published = assigner.published();
        }
    }

    // The server that the assigner names for a key; empty where it is moving.
    std::string owner(unsigned key) const
    {
        const key_assignment all = assigner.published();
        const key_share* it = all.find(valves, shard_key{key});
        return it == nullptr || it->is_moving ? "" : it->owner.str();
    }

    time_point now{seconds(100)};
    server_directory directory;
    assigner_view view;
    key_assigner assigner;
    std::map<server_id, double> capacities;
    std::function<order_result(const key_order&)> answer = [](const key_order& it)
    {
        return order_result{order_end::accepted,
                            it.kind == order_kind::release ? "state" : ""};
    };
    std::function<void()> load;
    bool is_renewing = true;
    std::deque<key_order> orders;
    std::vector<key_assignment> records;
    std::map<server_id, time_point> held;
    std::uint64_t published_changes = 0;
    key_assignment last_published;
};

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

TEST_CASE("an assigner divides the keys of a new service")
{
    assigner_fixture fixture(4);
    fixture.run(seconds(3));

    THEN("each server gets a part, after the record was written")
    {
        CHECK(fixture.owner(0) == "s0");
        CHECK(fixture.owner(20000) == "s1");
        CHECK(fixture.owner(40000) == "s2");
        CHECK(fixture.owner(65535) == "s3");
        REQUIRE_FALSE(fixture.records.empty());
        CHECK(fixture.records.front().services.front().shares.empty());
    }
    THEN("what is published changes when the record was written")
    {
        const std::uint64_t before = fixture.assigner.changes();
        listed_server leaving = fixture.directory.find(server_id("s0"))->entry;
        leaving.is_draining = true;
        fixture.directory.put(leaving, fixture.now);
        fixture.run(milliseconds(400));
        REQUIRE(fixture.assigner.changes() > before);
        CHECK(fixture.last_published == fixture.assigner.published());
    }
    THEN("grants are renewed well before they run out")
    {
        const auto n = grants_to(fixture, "s0");
        CHECK(n >= 3);
        CHECK(n <= 6);
    }
    THEN("without load nothing moves any more")
    {
        const std::size_t written = fixture.records.size();
        fixture.run(seconds(10));
        CHECK(fixture.records.size() == written);
    }
}

TEST_CASE("an assigner that cannot renew its lease stops")
{
    assigner_fixture fixture(2);
    fixture.run(seconds(3));
    fixture.is_renewing = false;
    fixture.orders.clear();
    fixture.run(seconds(10));

    THEN("its last grants are long, so that the servers go on without it")
    {
        REQUIRE_FALSE(fixture.orders.empty());
        CHECK(fixture.orders.back().hold == milliseconds(9800));
    }
    THEN("and none is sent after the lease")
    {
        CHECK_FALSE(fixture.assigner.has_authority(fixture.now));
        const unsigned before = grants_to(fixture, "s0");
        fixture.run(seconds(5));
        CHECK(grants_to(fixture, "s0") == before);
    }
}

TEST_CASE("the store goes away at any moment: all keys are held on before the lease ends")
{
    for (int ms = 0; ms < 700; ms += 50)
    {
        assigner_fixture fixture(6);
        fixture.run(seconds(3) + milliseconds(ms));
        fixture.is_renewing = false;
        fixture.run(seconds(4));
        for (const auto& [server, until] : fixture.held)
        {
            CHECK(until > fixture.now + seconds(4));
        }
        CHECK(fixture.held.size() == 6);
    }
}

TEST_CASE("an assigner gives the keys of a server that is lost to others")
{
    assigner_fixture fixture(3);
    fixture.run(seconds(3));
    const std::string lost = fixture.owner(0);
    fixture.answer = [&](const key_order& it)
    {
        const bool is_lost = it.server.str() == lost;
        return order_result{is_lost ? order_end::not_sent : order_end::accepted, ""};
    };
    const time_point since = fixture.now;

    SECTION("not before its last grant must have run out, and within 4 s")
    {
        while (fixture.owner(0) == lost && fixture.now < since + seconds(10))
        {
            fixture.run(milliseconds(10));
        }
        CHECK(fixture.now > fixture.held[server_id(lost)]);
        CHECK(fixture.now - since < seconds(4));
        CHECK(fixture.owner(0) != lost);
    }
    SECTION("at once where another server has its address")
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
    SECTION("at once where the server has started anew, with a higher epoch")
    {
        const epoch before = fixture.records.back().find(valves, shard_key{0})->at;
        fixture.answer = [](const key_order&)
        {
            return order_result{order_end::accepted, ""};
        };
        fixture.add_server(lost, 2);
        fixture.run(milliseconds(400));
        const key_assignment all = fixture.assigner.published();
        const key_share* it = all.find(valves, shard_key{0});
        CHECK(it->owner.str() == lost);
        CHECK(it->life.started_ms == 2);
        CHECK(it->at > before);
    }
}

TEST_CASE("an assigner moves the keys of a server that leaves")
{
    assigner_fixture fixture(3);
    fixture.run(seconds(3));
    listed_server leaving = fixture.directory.find(server_id("s0"))->entry;
    leaving.is_draining = true;
    fixture.directory.put(leaving, fixture.now);
    fixture.orders.clear();
    fixture.run(milliseconds(400));

    THEN("it is released first, and its state goes to the next owner")
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

TEST_CASE("an assigner that follows another one")
{
    assigner_fixture first(3);
    first.run(seconds(3));
    assigner_fixture second(3, first.records.back());

    SECTION("renews the same grants")
    {
        second.run(milliseconds(200));
        REQUIRE_FALSE(second.orders.empty());
        const key_share* before = first.records.back().find(
            valves, shard_key{second.orders.front().keys.first});
        CHECK(second.orders.front().at == before->at);
        CHECK(second.orders.front().server == before->owner);
    }
    SECTION("takes keys from a silent server only once all earlier grants ran out")
    {
        second.answer = [](const key_order& it)
        {
            const bool is_lost = it.server == server_id("s0");
            return order_result{is_lost ? order_end::not_sent : order_end::accepted, ""};
        };
        const time_point since = second.now;
        while (second.owner(0) == "s0" && second.now < since + seconds(20))
        {
            second.run(milliseconds(10));
        }
        CHECK(second.now - since > milliseconds(1500 + 9800));
        CHECK(second.now - since < seconds(13));
    }
    SECTION("uses epochs that the first never used")
    {
        second.run(milliseconds(200));
        CHECK(second.records.front().limit > first.records.back().limit);
    }
}

TEST_CASE("an assigner spreads keys that become hot together")
{
    assigner_fixture fixture(4);
    fixture.run(seconds(3));
    unsigned turn = 0;
    // 100 requests a second, nine of ten for 200 neighbouring keys of one owner.
    fixture.load = [&]
    {
        ++turn;
        const unsigned key =
            turn % 10 == 0 ? turn * 7919 % 65536 : 1000 + turn * 37 % 200;
        fixture.assigner.add_load(valves, shard_key{key}, fixture.now);
    };
    fixture.run(seconds(2));

    THEN("several servers own them, and few keys have moved")
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

TEST_CASE("an assigner gives a key that cannot be divided a fast server")
{
    assigner_fixture fixture(4);
    fixture.capacities = {{server_id("s0"), 30.0}, {server_id("s3"), 80.0}};
    fixture.run(seconds(3));
    unsigned turn = 0;
    // One key of the slowest server gets 60 requests a second of 100.
    fixture.load = [&]
    {
        ++turn;
        const unsigned key = turn % 10 < 6 ? 4711 : turn * 7919 % 65536;
        fixture.assigner.add_load(valves, shard_key{key}, fixture.now);
    };
    fixture.run(seconds(3));
    CHECK(fixture.owner(4711) == "s3");
}

TEST_CASE("an assigner joins neighbouring shares of one owner")
{
    key_assignment record;
    record.version = {1, 1};
    record.limit = epoch{100};
    service_shares& shares = record.services.emplace_back();
    shares.service = valves;
    for (unsigned n = 0; n < 64; ++n)
    {
        key_share share;
        share.keys = {n * 1024, n * 1024 + 1023};
        share.owner = server_id(n < 32 ? "s0" : "s1");
        share.life.started_ms = 1;
        share.at = epoch{n + 1};
        shares.shares.push_back(share);
    }
    assigner_fixture fixture(2, record);
    fixture.run(seconds(3));
    CHECK(fixture.records.back().find_service(valves)->shares.size() == 2);
    CHECK(fixture.owner(0) == "s0");
    CHECK(fixture.owner(65535) == "s1");
}
