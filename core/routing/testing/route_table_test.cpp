#include "core/routing/route_table.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const shard_id shard("valves");

shard_record record_at(std::uint64_t version, const char* scheduler)
{
    shard_record record;
    record.shard = shard;
    record.version = epoch{version};
    record.servers = {{server_id("s1"),
                       endpoint("127.0.0.1:1"),
                       true,
                       instance_id(scheduler),
                       endpoint("127.0.0.1:2"),
                       epoch{version}}};
    record.partitions = {{hash_range{{0}, {99}}, server_id("s1"), epoch{version}, {}},
                         {hash_range{{100}, hash_range().last}, {}, epoch{version}, {}}};
    return record;
}

} // namespace

TEST_CASE("a route names the scheduler of a key's owner")
{
    route_table table(instance_id("r1"));

    SECTION("without a record, every key is refused")
    {
        CHECK(table.find(shard, key_hash{5}).kind == route_kind::refuse);
    }
    SECTION("with a record, a key with an owner has a route")
    {
        REQUIRE(table.update_if_newer(record_at(4, "r1")));
        CHECK(table.scheduler_count() == 1);
        CHECK(table.find(shard, key_hash{5}).kind == route_kind::local);
        CHECK(table.find(shard, key_hash{100}).kind == route_kind::refuse);

        SECTION("each router that schedules servers of any shard is counted once")
        {
            shard_record other = record_at(1, "r2");
            other.shard = shard_id("diary");
            other.servers.push_back(other.servers[0]);
            other.servers.push_back(other.servers[0]);
            other.servers[1].scheduler = instance_id("r1");
            other.servers[2].scheduler = {};
            REQUIRE(table.update_if_newer(other));
            CHECK(table.scheduler_count() == 2);
        }
        SECTION("a newer record replaces it")
        {
            REQUIRE(table.update_if_newer(record_at(5, "r2")));
            route to = table.find(shard, key_hash{99});
            CHECK(to.kind == route_kind::forward);
            CHECK(to.since == epoch{5});

            SECTION("records of the same or an older version are ignored")
            {
                CHECK_FALSE(table.update_if_newer(record_at(4, "r1")));
                CHECK_FALSE(table.update_if_newer(record_at(5, "r1")));
                CHECK(table.find(shard, key_hash{99}).kind == route_kind::forward);
            }
        }
    }
}

TEST_CASE("a record that violates an invariant is invalid")
{
    shard_record record = record_at(4, "r1");
    CHECK(validate(record));

    SECTION("a gap between partitions")
    {
        record.partitions[1].range.first.value = 101;
    }
    SECTION("an overlap of partitions")
    {
        record.partitions[1].range.first.value = 99;
    }
    SECTION("the end of the key space is not covered")
    {
        record.partitions.pop_back();
    }
    SECTION("an owner that is not in the record")
    {
        record.partitions[0].owner = server_id("s9");
    }
    SECTION("a next owner that is not in the record")
    {
        record.partitions[0].moving_to = server_id("s9");
    }
    SECTION("a partition with an epoch above the record's version")
    {
        record.partitions[0].since = epoch{5};
    }
    SECTION("a server with an epoch above the record's version")
    {
        record.servers[0].since = epoch{5};
    }
    SECTION("a duplicate server")
    {
        record.servers.push_back(record.servers[0]);
    }

    CHECK_FALSE(validate(record));
}
