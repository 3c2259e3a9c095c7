#include "core/assignment/fence_progress.hpp"
#include "core/ownership/lease_vote_rounds.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

time_point at_ms(int n)
{
    return time_point(milliseconds(n));
}

shard_record record_of(std::uint64_t version)
{
    shard_record record;
    record.version = {version};
    for (const char* it : {"a", "b", "c"})
    {
        record.voters.push_back({instance_id(it), endpoint(it)});
    }
    return record;
}

} // namespace

TEST_CASE("authority and fences allow for the slowest clock", "[ownership]")
{
    ownership_options options;
    options.clock_drift_ppm = 100000; // 10 %

    SECTION(
        "authority counts from the start of the round, however late the answers arrive")
    {
        lease_vote_rounds rounds(options.authority_ttl);
        std::uint64_t round = rounds.start(record_of(1), at_ms(1000));
        rounds.start(record_of(1), at_ms(1200));
        rounds.answered(instance_id("a"), round);
        CHECK(rounds.authority_until() < at_ms(1000));
        rounds.answered(instance_id("a"), round);
        CHECK(rounds.authority_until() < at_ms(1000));
        rounds.answered(instance_id("c"), round);
        CHECK(rounds.authority_until() == at_ms(1800));
    }

    SECTION("the barrier passes a fence once authority by the slowest clock has lapsed")
    {
        fence_progress fences(options);
        fences.start(record_of(4), at_ms(1000));
        fences.acknowledged(instance_id("a"), {4}, {}, at_ms(1100));
        CHECK_FALSE(fences.is_fenced({4}, at_ms(5000)));
        fences.acknowledged(instance_id("b"), {4}, {}, at_ms(2000));
        CHECK(fences.is_fenced({4}, at_ms(2000)));
        CHECK(fences.barrier(at_ms(2879), duration{}) == epoch{});
        CHECK(fences.barrier(at_ms(2881), duration{}) == epoch{4});
        CHECK(fences.barrier(at_ms(2881), milliseconds(500)) == epoch{});

        AND_THEN("a fence without a majority counts only after max_store_read_age")
        {
            fences.start(record_of(5), at_ms(3000));
            fences.acknowledged(instance_id("a"), {5}, {}, at_ms(3001));
            int limit = 990000; // 15 minutes plus 10 % drift
            CHECK_FALSE(fences.is_fenced({5}, at_ms(3000 + limit)));
            CHECK(fences.is_fenced({5}, at_ms(3001 + limit)));
        }
    }

    SECTION("a fence of an earlier assigner counts from its start, by the slowest clock")
    {
        fence_progress fences(options);
        fences.start(record_of(4), at_ms(5000));
        fences.acknowledged(instance_id("a"), {4}, milliseconds(3000), at_ms(5100));
        CHECK(fences.barrier(at_ms(5100), duration{}) == epoch{});
        fences.acknowledged(instance_id("b"), {4}, milliseconds(300), at_ms(5100));
        // Fenced by 4832 ms at the latest, so authority has lapsed by 5712 ms.
        CHECK(fences.barrier(at_ms(5690), duration{}) == epoch{});
        CHECK(fences.barrier(at_ms(5715), duration{}) == epoch{4});
    }

    SECTION("during a change of voters, a fence needs a majority of both sets")
    {
        shard_record joint = record_of(6);
        joint.previous_voters = joint.voters;
        joint.voters = {
            {instance_id("d"), {}}, {instance_id("e"), {}}, {instance_id("a"), {}}};
        fence_progress fences(options);
        fences.start(joint, at_ms(1000));
        fences.acknowledged(instance_id("d"), {6}, {}, at_ms(1100));
        fences.acknowledged(instance_id("e"), {6}, {}, at_ms(1100));
        CHECK_FALSE(fences.is_fenced({6}, at_ms(1100)));
        fences.acknowledged(instance_id("a"), {6}, {}, at_ms(1200));
        CHECK_FALSE(fences.is_fenced({6}, at_ms(1200)));
        fences.acknowledged(instance_id("b"), {6}, {}, at_ms(1300));
        CHECK(fences.is_fenced({6}, at_ms(1300)));
    }
}
