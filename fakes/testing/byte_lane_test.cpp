#include "fakes/relay/byte_lane.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const time_point start{seconds(1)};
const relay_fault pass;

// Takes all bytes that are ready.
std::string drain(byte_lane& lane, const relay_fault& fault, time_point now)
{
    std::string out;
    while (!lane.ready(fault, now).empty())
    {
        out += lane.ready(fault, now).front();
        lane.written(1);
    }
    return out;
}

} // namespace

TEST_CASE("the relay's faults act on the bytes of one direction")
{
    byte_lane lane(relay_direction::to_target);

    GIVEN("bytes and the end of the stream, without a fault")
    {
        lane.push("ab", pass, start);
        lane.push("c", pass, start);
        lane.push_end(pass, start);

        THEN("they go through in order, the end last")
        {
            CHECK_FALSE(lane.take_end(pass, start));
            CHECK(drain(lane, pass, start) == "abc");
            CHECK(lane.take_end(pass, start));
            CHECK(lane.is_ended());
        }

        THEN("a stall holds them, but only in its own direction")
        {
            CHECK(drain(lane, {relay_mode::stall, relay_direction::to_target, {}}, start)
                      .empty());
            CHECK_FALSE(lane.next_due({relay_mode::stall, relay_direction::both, {}}));
            CHECK(drain(lane,
                        {relay_mode::stall, relay_direction::to_caller, {}},
                        start) == "abc");
        }

        THEN("silence loses them for good, with the end and all that follows")
        {
            lane.silence();
            lane.push("d", pass, start);
            CHECK(drain(lane, pass, start + seconds(9)).empty());
            CHECK_FALSE(lane.take_end(pass, start + seconds(9)));
        }
    }

    GIVEN("bytes that are delayed by 50 ms")
    {
        relay_fault slow{relay_mode::delay, relay_direction::both, milliseconds(50)};
        lane.push("a", slow, start);

        THEN("they come when they are due, and later bytes never before them")
        {
            lane.push("b", pass, start + milliseconds(1));
            CHECK(drain(lane, pass, start + milliseconds(49)).empty());
            CHECK(lane.next_due(pass) == start + milliseconds(50));
            CHECK(drain(lane, pass, start + milliseconds(50)) == "ab");
        }
    }

    GIVEN("control targets")
    {
        THEN("faults are read from them, and bad ones are refused")
        {
            std::optional<relay_fault> fault =
                parse_relay_fault("/fault?mode=delay&delay_ms=20&direction=to_caller");
            REQUIRE(fault);
            CHECK(fault->delay == milliseconds(20));
            CHECK(fault->applies_to(relay_direction::to_caller));
            CHECK_FALSE(fault->applies_to(relay_direction::to_target));
            CHECK_FALSE(parse_relay_fault("/fault"));
            CHECK_FALSE(parse_relay_fault("/fault?mode=break"));
            CHECK_FALSE(parse_relay_fault("/fault?mode=pass&direction=up"));
            CHECK_FALSE(parse_relay_fault("/fault?mode=delay&delay_ms=1e99"));
        }
    }
}
