#include "router/config_version_round.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

lease_vote_answer granted_vote(unsigned version)
{
    return {true, epoch{1}, config_version{version}};
}

} // namespace

TEST_CASE("a majority of the voters in one round determines the fleet's configuration")
{
    std::vector<voter_entry> voters{
        {instance_id("r1"), {}}, {instance_id("r2"), {}}, {instance_id("r3"), {}}};
    config_version_round round;
    round.begin(7, time_point(seconds(1)));

    SECTION("one of three voters is no majority")
    {
        CHECK_FALSE(round.on_answer(7, instance_id("r1"), granted_vote(4), voters));

        SECTION("the same voter does not count twice")
        {
            CHECK_FALSE(round.on_answer(7, instance_id("r1"), granted_vote(5), voters));
        }
        SECTION("two of three are a majority, and the highest version is returned")
        {
            CHECK(round.on_answer(7, instance_id("r2"), granted_vote(3), voters) ==
                  config_version{4});
        }
        SECTION("an answer to an earlier round does not count")
        {
            CHECK_FALSE(round.on_answer(6, instance_id("r2"), granted_vote(3), voters));
        }
        SECTION("a voter that does not grant its lease vote does not count")
        {
            CHECK_FALSE(round.on_answer(
                7, instance_id("r2"), {false, epoch{1}, config_version{3}}, voters));
        }
        SECTION("a voter that has no configuration yet does not count")
        {
            CHECK_FALSE(round.on_answer(7, instance_id("r2"), granted_vote(0), voters));
        }
        SECTION("an instance that is no voter does not count")
        {
            CHECK_FALSE(round.on_answer(7, instance_id("r9"), granted_vote(3), voters));
        }
        SECTION("answers to the previous round do not count in a new one")
        {
            round.begin(8, time_point(seconds(2)));
            CHECK_FALSE(round.on_answer(8, instance_id("r2"), granted_vote(3), voters));
        }
    }
}
