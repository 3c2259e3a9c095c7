#include "core/ownership/scheduler_authority.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>

using namespace camphorrock;

TEST_CASE("a restarted router does not act on a record before it has read the store",
          "[ownership]")
{
    time_point start(seconds(100));
    instance_id self("r0");
    shard_record record;
    record.shard = shard_id("diary");
    record.version = {7};
    record.partitions = {{hash_range(), server_id("s0"), {3}, {}}};
    record.servers = {{server_id("s0"), endpoint("s0"), true, self, endpoint("r0"), {3}}};
    record.voters = {{self, endpoint("r0")}};

    scheduler_authority authority(record.shard, self, {}, start);
    scheduler_actions actions;
    authority.record_received(record, start + seconds(1), actions);
    authority.tick(start + seconds(2), actions);

    THEN("it only asks for the record")
    {
        CHECK_FALSE(actions.empty());
        CHECK(std::all_of(actions.begin(),
                          actions.end(),
                          [](const scheduler_action& it)
                          { return std::holds_alternative<fetch_record>(it); }));
        CHECK_FALSE(authority.record());
    }

    WHEN("a store read completes that began before the start")
    {
        authority.store_read(record, start - seconds(1), start + seconds(2), actions);

        THEN("the record is ignored")
        {
            CHECK_FALSE(authority.record());
        }
    }

    WHEN("a store read completes that began after the start")
    {
        actions.clear();
        authority.store_read(record, start, start + seconds(2), actions);

        THEN("the router acts on the record and asks the voters for lease votes")
        {
            CHECK(authority.record());
            CHECK(std::any_of(actions.begin(),
                              actions.end(),
                              [](const scheduler_action& it) {
                                  return std::holds_alternative<request_lease_vote>(it);
                              }));
        }
    }
}
