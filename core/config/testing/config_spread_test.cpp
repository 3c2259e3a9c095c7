#include "core/config/config_spread.hpp"
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

TEST_CASE("a version is known once a majority of each shard's voters has it")
{
    constexpr config_version wanted{7};
    auto tell = [](config_spread& spread, const char* id, unsigned version)
    {
        spread.answered(instance_id(id), config_version{version});
    };

    SECTION("before the first shard there is nobody to know it")
    {
        CHECK(config_spread(wanted, {}).is_known());
    }

    SECTION("two shards with two voters in common")
    {
        config_spread spread(wanted,
                             {record("diary", {voter("r1"), voter("r2"), voter("r3")}),
                              record("valves", {voter("r1"), voter("r3"), voter("r4")})});
        CHECK(spread.open_questions().size() == 4);
        tell(spread, "r1", 7);
        tell(spread, "r2", 8); // a later one will do
        CHECK_FALSE(spread.is_known());

        THEN("an older version does not count")
        {
            tell(spread, "r4", 6);
            CHECK_FALSE(spread.is_known());
            CHECK(spread.open_questions().size() == 2);
        }
        THEN("the majority of the second shard completes it")
        {
            tell(spread, "r4", 7);
            CHECK(spread.is_known());
        }
    }

    SECTION("while voters change, both sets must know it")
    {
        shard_record changing = record("diary", {voter("r3"), voter("r4"), voter("r5")});
        changing.previous_voters = {voter("r1"), voter("r2"), voter("r3")};
        config_spread spread(wanted, {changing});
        tell(spread, "r4", 7);
        tell(spread, "r5", 7);
        CHECK_FALSE(spread.is_known());
        tell(spread, "r3", 7);
        CHECK_FALSE(spread.is_known());
        tell(spread, "r1", 7);
        CHECK(spread.is_known());
    }
}
