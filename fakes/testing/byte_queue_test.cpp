#include "fakes/relay/byte_queue.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const time_point start{seconds(1)};
const relay_fault pass;

// Consumes and returns all bytes that are ready.
std::string drain(byte_queue& queue, const relay_fault& fault, time_point now)
{
    std::string out;
    while (!queue.ready_bytes(fault, now).empty())
    {
        out += queue.ready_bytes(fault, now).front();
        queue.consume(1);
    }
    return out;
}

} // namespace

TEST_CASE("a relay fault applies to the bytes of its direction")
{
    byte_queue queue(relay_direction::to_target);

    GIVEN("bytes and the end of the stream, without a fault")
    {
        queue.push("ab", pass, start);
        queue.push("c", pass, start);
        queue.push_end(pass, start);

        THEN("they are forwarded in order, the end last")
        {
            CHECK_FALSE(queue.pop_end(pass, start));
            CHECK(drain(queue, pass, start) == "abc");
            CHECK(queue.pop_end(pass, start));
            CHECK(queue.is_end_popped());
        }

        THEN("a stall holds them only if its direction matches")
        {
            CHECK(drain(queue, {relay_mode::stall, relay_direction::to_target, {}}, start)
                      .empty());
            CHECK_FALSE(queue.next_due({relay_mode::stall, relay_direction::both, {}}));
            CHECK(drain(queue,
                        {relay_mode::stall, relay_direction::to_caller, {}},
                        start) == "abc");
        }

        THEN("silence discards them, the end, and all later bytes")
        {
            queue.silence();
            queue.push("d", pass, start);
            CHECK(drain(queue, pass, start + seconds(9)).empty());
            CHECK_FALSE(queue.pop_end(pass, start + seconds(9)));
        }
    }

    GIVEN("bytes with a delay of 50 ms")
    {
        relay_fault slow{relay_mode::delay, relay_direction::both, milliseconds(50)};
        queue.push("a", slow, start);

        THEN("they are ready when due, and later bytes without a delay not before them")
        {
            queue.push("b", pass, start + milliseconds(1));
            CHECK(drain(queue, pass, start + milliseconds(49)).empty());
            CHECK(queue.next_due(pass) == start + milliseconds(50));
            CHECK(drain(queue, pass, start + milliseconds(50)) == "ab");
        }
    }

    GIVEN("control targets")
    {
        THEN("faults are parsed from them, and malformed ones are rejected")
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
