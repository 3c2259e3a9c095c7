#include "router/server_lane.hpp"
#include "router/testing/parts_fixture.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using namespace camphorrock::testing;

TEST_CASE("a lane is dropped while it is about to refuse a request")
{
    parts_fixture fixture;
    // This router holds no authority, so a request that gets a slot is not sent.
    scheduler_authority authority(
        shard_id("diary"), instance_id("r1"), ownership_options(), fixture.loop->now());
    partition_load load({});
    request_end end;
    bool is_called = false;
    std::unique_ptr<server_lane> lane =
        server_lane::create(fixture.parts, authority, load, server_id("s1"), 3).value();
    ticket id = lane->submit(fixture.make_request(key_hash{5}, seconds(60), end),
                             [&](const lane_end&) { is_called = true; });
    bool is_over = false;
    timer_handle soon = fixture.loop->after(milliseconds(5), [&] { is_over = true; });

    SECTION("the request is refused in the loop's next turn")
    {
        CHECK_FALSE(is_called);
        fixture.run_until([&] { return is_over; });
        CHECK(is_called);
        CHECK(lane->in_flight() == 0);
    }

    SECTION("its caller goes first, so the lane is idle and is dropped")
    {
        lane->withdraw(id);
        REQUIRE(lane->in_flight() == 0);
        lane.reset();
        fixture.run_until([&] { return is_over; });
        CHECK_FALSE(is_called);
    }
}
