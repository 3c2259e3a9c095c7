#include "router/voter_round.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

lease_vote_answer known(unsigned version)
{
    return {true, epoch{1}, config_version{version}};
}

} // namespace

TEST_CASE("a majority of one round tells the fleet's configuration")
{
    std::vector<voter_entry> voters{
        {instance_id("r1"), {}}, {instance_id("r2"), {}}, {instance_id("r3"), {}}};
    voter_round round;
    round.begin(7, time_point(seconds(1)));

    SECTION("one of three is no majority")
    {
        CHECK_FALSE(round.answered(7, instance_id("r1"), known(4), voters));

        SECTION("nor is the same one twice")
        {
            CHECK_FALSE(round.answered(7, instance_id("r1"), known(5), voters));
        }
        SECTION("two are, and the highest version counts")
        {
            CHECK(round.answered(7, instance_id("r2"), known(3), voters) ==
                  config_version{4});
        }
        SECTION("an answer of an earlier round does not count")
        {
            CHECK_FALSE(round.answered(6, instance_id("r2"), known(3), voters));
        }
        SECTION("a voter that does not vouch does not count")
        {
            CHECK_FALSE(round.answered(
                7, instance_id("r2"), {false, epoch{1}, config_version{3}}, voters));
        }
        SECTION("nor does one that has no configuration yet")
        {
            CHECK_FALSE(round.answered(7, instance_id("r2"), known(0), voters));
        }
        SECTION("nor does one who is no voter")
        {
            CHECK_FALSE(round.answered(7, instance_id("r9"), known(3), voters));
        }
        SECTION("a new round starts from nothing")
        {
            round.begin(8, time_point(seconds(2)));
            CHECK_FALSE(round.answered(8, instance_id("r2"), known(3), voters));
        }
    }
}
