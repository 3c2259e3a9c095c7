#include "core/config/config_quorum.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

voter_entry voter(const char* id)
{
    return {instance_id(id), endpoint("127.0.0.1:1")};
}

shard_record record(const char* shard, std::vector<voter_entry> voters)
{
    shard_record made;
    made.shard = shard_id(shard);
    made.version = epoch{3};
    made.voters = std::move(voters);
    return made;
}

} // namespace

TEST_CASE("a version has a quorum once a majority of each shard's voters has it")
{
    constexpr config_version wanted{7};
    auto report = [](config_quorum& quorum, const char* id, unsigned version)
    {
        quorum.on_voter_version(instance_id(id), config_version{version});
    };

    SECTION("without shards there is a quorum at once")
    {
        CHECK(config_quorum(wanted, {}).has_quorum());
    }

    SECTION("two shards with two voters in common")
    {
        config_quorum quorum(wanted,
                             {record("diary", {voter("r1"), voter("r2"), voter("r3")}),
                              record("valves", {voter("r1"), voter("r3"), voter("r4")})});
        CHECK(quorum.pending_queries().size() == 4);
        report(quorum, "r1", 7);
        report(quorum, "r2", 8); // a later version counts as well
        CHECK_FALSE(quorum.has_quorum());

        THEN("an older version does not count")
        {
            report(quorum, "r4", 6);
            CHECK_FALSE(quorum.has_quorum());
            CHECK(quorum.pending_queries().size() == 2);
        }
        THEN("a majority of the second shard completes the quorum")
        {
            report(quorum, "r4", 7);
            CHECK(quorum.has_quorum());
        }
    }

    SECTION("while voters change, a majority of both sets is needed")
    {
        shard_record changing = record("diary", {voter("r3"), voter("r4"), voter("r5")});
        changing.previous_voters = {voter("r1"), voter("r2"), voter("r3")};
        config_quorum quorum(wanted, {changing});
        report(quorum, "r4", 7);
        report(quorum, "r5", 7);
        CHECK_FALSE(quorum.has_quorum());
        report(quorum, "r3", 7);
        CHECK_FALSE(quorum.has_quorum());
        report(quorum, "r1", 7);
        CHECK(quorum.has_quorum());
    }
}
