#include "core/gateway/servers/server_directory.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

listed_server entry(const char* id, std::uint64_t incarnation = 1)
{
    listed_server made;
    made.id = server_id(id);
    made.incarnation.started_ms = incarnation;
    made.service = service_name("valves");
    return made;
}

} // namespace

TEST_CASE("the directory reflects the entries of servers")
{
    const time_point start{seconds(100)};
    server_directory directory;
    directory.put(entry("a"), start);
    directory.put(entry("b"), start);

    SECTION("a server with an entry is usable")
    {
        CHECK(directory.find(server_id("a"))->is_usable());
        CHECK(directory.servers_of(service_name("valves")).size() == 2);
        CHECK(directory.servers_of(service_name("other")).empty());
    }
    SECTION("a server whose entry was removed is gone after the grace period")
    {
        directory.remove(server_id("a"), milliseconds(1600), start);
        const known_server* it = directory.find(server_id("a"));
        REQUIRE(it != nullptr);
        CHECK_FALSE(it->is_usable());
        CHECK_FALSE(it->is_leaving(start + milliseconds(1599)));
        CHECK(it->is_leaving(start + milliseconds(1600)));

        AND_THEN("an entry that returns within the grace period makes it usable again")
        {
            directory.put(entry("a"), start + seconds(1));
            CHECK(directory.find(server_id("a"))->is_usable());
        }
        AND_THEN("a second removal does not restart the grace period")
        {
            directory.remove(server_id("a"), seconds(9), start + seconds(1));
            CHECK(directory.find(server_id("a"))->is_leaving(start + seconds(2)));
        }
        AND_THEN("its row is dropped 5 s after that")
        {
            directory.expire(start + seconds(6));
            CHECK(directory.find(server_id("a")) != nullptr);
            directory.expire(start + seconds(7));
            CHECK(directory.find(server_id("a")) == nullptr);
        }
    }
    SECTION("a full list removes the servers that it does not contain")
    {
        directory.replace({entry("b"), entry("c")}, duration::zero(), start);
        CHECK(directory.find(server_id("a"))->is_leaving(start));
        CHECK(directory.find(server_id("b"))->is_usable());
        CHECK(directory.find(server_id("c"))->is_usable());
    }
    SECTION("an entry of an earlier incarnation is ignored")
    {
        directory.put(entry("a", 5), start);
        directory.put(entry("a", 4), start);
        CHECK(directory.find(server_id("a"))->entry.incarnation.started_ms == 5);
    }
}

// Guards against requests to a server that has announced that it leaves (DRAIN), because
// its entry in the store does not say so or cannot be read.
TEST_CASE("a server that announces in an answer that it leaves is not used any more")
{
    const time_point start{seconds(100)};
    const server_id a("a");
    server_directory directory;
    directory.put(entry("a"), start);
    REQUIRE(directory.announce_leaving(a, {1}, start));
    CHECK_FALSE(directory.announce_leaving(a, {1}, start + seconds(1)));

    SECTION("whatever its entry says later")
    {
        directory.put(entry("a"), start + seconds(1));
        CHECK_FALSE(directory.find(a)->is_usable());
        CHECK(directory.find(a)->is_leaving(start + seconds(1)));
        CHECK(directory.find(a)->leaving_since() == start);
    }
    SECTION("also if its entry was removed and comes back")
    {
        directory.remove(a, duration::zero(), start + seconds(1));
        directory.expire(start + seconds(60));
        directory.put(entry("a"), start + seconds(61));
        CHECK_FALSE(directory.find(a)->is_usable());
    }
    SECTION("until a new incarnation of it is listed")
    {
        directory.put(entry("a", 2), start + seconds(1));
        CHECK(directory.find(a)->is_usable());
        CHECK_FALSE(directory.announce_leaving(a, {1}, start + seconds(2)));
        CHECK(directory.find(a)->is_usable());
    }
    SECTION("its row is dropped in the end")
    {
        directory.remove(a, duration::zero(), start);
        directory.expire(start + seconds(600));
        CHECK(directory.find(a) == nullptr);
    }
}

// Guards against a server that stays unused for good though it drains no more: seed 14100
// of the owners' simulation held no key.
TEST_CASE("draining ends when the entries of a server have said so for a while")
{
    const time_point start{seconds(100)};
    server_directory directory;
    listed_server draining = entry("a");
    draining.is_draining = true;
    directory.put(draining, start);
    directory.put(entry("a"), start + seconds(1));
    const known_server* it = directory.find(server_id("a"));
    CHECK_FALSE(it->is_usable());
    CHECK(it->draining_since == start);

    SECTION("it is used again 6 s later")
    {
        directory.put(entry("a"), start + seconds(4));
        CHECK_FALSE(it->is_usable());
        directory.put(entry("a"), start + seconds(7));
        CHECK(it->is_usable());
    }
    SECTION("an entry that drains restarts the time")
    {
        directory.put(draining, start + seconds(4));
        directory.put(entry("a"), start + seconds(7));
        CHECK_FALSE(it->is_usable());
        CHECK(it->draining_since == start);
    }
    SECTION("a new incarnation is used at once")
    {
        directory.put(entry("a", 2), start + seconds(2));
        CHECK(it->is_usable());
    }
}
