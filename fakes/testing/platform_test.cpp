#include "fakes/testing/platform_fixture.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using camphorrock::testing::platform_fixture;

namespace
{

// Applies the changes that a watch delivers, and counts them.
struct watch_recorder
{
    std::map<std::string, std::string> values;
    std::size_t changes = 0;

    void operator()(const std::vector<store_entry>& entries)
    {
        changes += entries.size();
        for (const store_entry& it : entries)
        {
            if (it.revision.value == 0)
            {
                values.erase(it.key);
            }
            else
            {
                values[it.key] = it.value;
            }
        }
    }
};

} // namespace

TEST_CASE("a store call reports whether it took effect")
{
    platform_fixture platform;

    GIVEN("a key that was created")
    {
        const store_write made = platform.swap("k", {}, "one");
        REQUIRE(made.end == store_end::done);

        THEN("a read returns its value and revision")
        {
            const store_read read = platform.get("k");
            REQUIRE(read.entries.size() == 1);
            CHECK(read.entries[0].value == "one");
            CHECK(read.entries[0].revision == made.revision);
            CHECK(platform.get("none").entries.empty());
        }

        THEN("a write that expects another revision conflicts and has no effect")
        {
            const store_write late = platform.swap("k", {}, "two");
            REQUIRE(late.end == store_end::conflict);
            CHECK(late.current->value == "one");
            CHECK(platform.swap("other", made.revision, "x").end == store_end::conflict);
            CHECK(platform.get("other").entries.empty());
        }

        THEN("it can be deleted at its revision only")
        {
            auto remove = [&](store_revision expected)
            {
                return platform.wait<store_write>(
                    [&](auto done)
                    { platform.store->compare_and_delete("k", expected, done); });
            };
            CHECK(remove({1}).end == store_end::conflict);
            CHECK(remove(made.revision).end == store_end::done);
            CHECK(platform.get("k").entries.empty());
        }

        WHEN("the reply of a write is lost")
        {
            platform.set_fault("lose_replies", 1);
            const store_write lost = platform.swap("k", made.revision, "two");

            THEN("its effect is unknown, and it was applied once")
            {
                CHECK(lost.end == store_end::unknown);
                const store_read read = platform.get("k");
                CHECK(read.entries[0].value == "two");
                CHECK(read.entries[0].revision.value == made.revision.value + 1);
            }
        }

        WHEN("the request of a write is lost")
        {
            platform.set_fault("lose_requests", 1);
            const store_write lost = platform.swap("k", made.revision, "two");

            THEN("its effect is unknown, and it was not applied")
            {
                CHECK(lost.end == store_end::unknown);
                CHECK(platform.get("k").entries[0].value == "one");
            }
        }

        WHEN("the store answers after the timeout of the call")
        {
            platform.set_fault("delay_ms", 500);
            const store_write slow = platform.swap("k", made.revision, "two");

            THEN("its effect is unknown, and it is applied later")
            {
                CHECK(slow.end == store_end::unknown);
                platform.set_fault("delay_ms", 0);
                while (platform.get("k").entries[0].value != "two")
                {
                }
            }
        }

        WHEN("the store is down")
        {
            platform.set_fault("outage", true);

            THEN("reads fail after one retry, writes without a retry")
            {
                CHECK(platform.get("k").end == store_end::unknown);
                CHECK(platform.swap("k", made.revision, "two").end == store_end::unknown);
                CHECK(platform.service.stats()["cut_off"].asInt() == 3);
            }
        }
    }

    GIVEN("five keys under a prefix, and keys before and after it")
    {
        for (const char* key : {"j/1", "j/2", "j/3", "j/4", "j/5", "i/9", "k/0"})
        {
            REQUIRE(platform.swap(key, {}, key).end == store_end::done);
        }
        auto read = [&](const store_page& page)
        {
            return platform.wait<store_read>(
                [&](auto done) { platform.store->get_prefix("j/", page, done); });
        };

        THEN("a read without a limit returns all of them")
        {
            const store_read all = read({});
            CHECK(all.entries.size() == 5);
            CHECK_FALSE(all.has_more);
        }

        THEN("pages return each of them once, in order, and report whether more follow")
        {
            std::vector<std::string> received;
            store_read page = read({{}, 2});
            CHECK(page.has_more);
            while (page.has_more)
            {
                CHECK(page.entries.size() == 2);
                received.push_back(page.entries[0].key);
                received.push_back(page.entries[1].key);
                page = read({received.back(), 2});
            }
            REQUIRE(page.entries.size() == 1);
            received.push_back(page.entries[0].key);
            CHECK(received ==
                  std::vector<std::string>{"j/1", "j/2", "j/3", "j/4", "j/5"});
        }

        THEN("a page that ends with the last key reports that no more follow")
        {
            CHECK_FALSE(read({"j/3", 2}).has_more);
        }
    }

    GIVEN("a store that does not listen")
    {
        platform.server.reset();

        THEN("no request is sent, so calls fail without effect")
        {
            CHECK(platform.swap("k", {}, "one").end == store_end::failed);
            CHECK(platform.get("k").end == store_end::failed);
        }
    }

    GIVEN("a store whose write rate limit is exceeded")
    {
        fakes::platform_options options;
        options.writes_per_second = 1;
        platform_fixture limited(options);
        CHECK(limited.swap("k", {}, "one").end == store_end::done);

        THEN("it refuses the write, without effect")
        {
            CHECK(limited.swap("l", {}, "one").end == store_end::failed);
            CHECK(limited.get("l").entries.empty());
            CHECK(limited.service.stats()["refused"].asInt() == 1);
        }
    }
}

TEST_CASE("a key with a lease exists as long as the lease")
{
    platform_fixture platform;
    auto call = [&](auto start)
    {
        return platform.wait<store_lease_grant>([&](auto done)
                                                { start(*platform.store, done); });
    };
    const store_lease_grant granted =
        call([](store_client& it, auto done) { it.grant_lease(seconds(1), done); });
    REQUIRE(granted.end == store_end::done);
    CHECK(granted.time_to_live == seconds(1));
    platform.held_lease = granted.lease;
    REQUIRE(platform.swap("k", {}, "one").end == store_end::done);
    auto keep_alive = [&]
    {
        return call([&](store_client& it, auto done)
                    { it.keep_alive(granted.lease, done); });
    };
    CHECK(keep_alive().end == store_end::done);

    SECTION("until the lease is revoked")
    {
        auto revoke = [&](store_client& it, auto done)
        {
            it.revoke_lease(granted.lease, done);
        };
        CHECK(call(revoke).end == store_end::done);
        CHECK(platform.get("k").entries.empty());
        CHECK(call(revoke).end == store_end::failed);
    }

    SECTION("until the lease expires; it can then be neither kept alive nor used")
    {
        while (!platform.get("k").entries.empty())
        {
        }
        CHECK(keep_alive().end == store_end::failed);
        CHECK(platform.swap("k", {}, "two").end == store_end::failed);
    }
}

TEST_CASE("a watch delivers the state of the store despite faults")
{
    fakes::platform_options options;
    options.kv.max_events = 5;
    platform_fixture platform(options);
    const store_revision first = platform.swap("p/a", {}, "0").revision;
    watch_recorder received;
    watch_handle watch =
        platform.store->watch("p/",
                              {{first.value - 1}, {}},
                              [&](std::vector<store_entry> it) { received(it); });
    platform.run_until([&] { return received.values["p/a"] == "0"; });

    SECTION("each change is delivered once, across several connections")
    {
        store_revision at = first;
        for (int i = 1; i <= 8; ++i)
        {
            at = platform.swap("p/a", at, std::to_string(i)).revision;
            platform.swap("elsewhere", {}, "x");
            platform.run_until([&]
                               { return received.values["p/a"] == std::to_string(i); });
        }
        platform.run_until(
            [&] { return platform.service.stats()["calls"]["watch"].asInt() > 3; });
        CHECK(received.changes == 9);
    }

    SECTION("after an outage")
    {
        platform.set_fault("outage", true);
        platform.get("p/a");
        platform.set_fault("outage", false);
        platform.swap("p/a", first, "1");
        platform.run_until([&] { return received.values["p/a"] == "1"; });
        CHECK(received.changes == 2);
    }

    SECTION("after an outage, with the missed changes compacted")
    {
        store_revision other = platform.swap("p/b", {}, "0").revision;
        platform.run_until([&] { return received.values.contains("p/b"); });
        platform.set_fault("outage", true);
        platform.set_fault("outage", false);
        for (int i = 0; i < 6; ++i)
        {
            other = platform.swap("p/b", other, "again").revision;
        }
        platform.wait<store_write>(
            [&](auto done) { platform.store->compare_and_delete("p/a", first, done); });
        for (int i = 0; i < 6; ++i)
        {
            other = platform.swap("p/b", other, std::to_string(i)).revision;
        }
        platform.run_until(
            [&] {
                return received.values["p/b"] == "5" && !received.values.contains("p/a");
            });
    }

    SECTION("until its handle is destroyed")
    {
        watch.reset();
        platform.swap("p/a", first, "1");
        platform.run_until([&]
                           { return platform.service.stats()["watches"].asInt() == 0; });
        CHECK(received.changes == 1);
    }

    SECTION("its handle may be destroyed inside the callback")
    {
        int calls = 0;
        watch_handle self;
        self = platform.store->watch("p/",
                                     {},
                                     [&](const std::vector<store_entry>&)
                                     {
                                         ++calls;
                                         self.reset();
                                     });
        platform.run_until([&] { return calls > 0; });
        platform.swap("p/a", first, "1");
        platform.run_until([&] { return received.values["p/a"] == "1"; });
        CHECK(calls == 1);
    }
}

TEST_CASE("the instance list shows changes after its lag")
{
    fakes::lagging_list list(seconds(2));
    instance_entry entry{instance_id("r1"),
                         instance_role::router,
                         data_centre("a"),
                         endpoint("127.0.0.1:1"),
                         instance_state::live};
    time_point now{};
    list.enter(entry, now);
    CHECK(list.read(now + seconds(1)).empty());
    CHECK(list.read(now + seconds(2)).size() == 1);
    list.leave(entry.id, now + seconds(3));
    CHECK(list.read(now + seconds(4)).size() == 1);
    list.set_lag(seconds(1));
    CHECK(list.read(now + seconds(4)).empty());

    SECTION("over HTTP")
    {
        platform_fixture platform;
        platform.set_fault("list_lag_ms", 0);
        instance_list client(*platform.http, platform.server->bound());
        using rows = std::optional<std::vector<instance_entry>>;
        auto read = [&]
        {
            return platform.wait<rows>([&](auto done) { client.read(done); });
        };
        CHECK(read()->empty());
        CHECK(platform.wait<bool>([&](auto done) { client.enter(entry, done); }));
        CHECK(read()->at(0).peer == entry.peer);
        CHECK(platform.wait<bool>([&](auto done) { client.leave(entry.id, done); }));
        CHECK(read()->empty());
        platform.set_fault("outage", true);
        CHECK_FALSE(read().has_value());
    }
}
