#include "router/server_dispatcher.hpp"
#include "router/testing/context_fixture.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using namespace camphorrock::testing;

TEST_CASE("a request that must not be sent is refused in the next turn of the loop")
{
    context_fixture fixture;
    // This router holds no authority, so a request that gets a slot is not sent.
    scheduler_authority authority(
        shard_id("diary"), instance_id("r1"), ownership_options(), fixture.loop->now());
    partition_load load({});
    request_end end;
    bool is_called = false;
    std::unique_ptr<server_dispatcher> dispatcher =
        server_dispatcher::create(fixture.context, authority, load, server_id("s1"), 3)
            .value();
    ticket id = dispatcher->submit(fixture.make_request(key_hash{5}, seconds(60), end),
                                   [&](const dispatch_result&) { is_called = true; });
    bool is_timer_fired = false;
    timer_handle soon =
        fixture.loop->after(milliseconds(5), [&] { is_timer_fired = true; });

    SECTION("submit() returns before the request is refused")
    {
        CHECK_FALSE(is_called);
        fixture.run_until([&] { return is_timer_fired; });
        CHECK(is_called);
        CHECK(dispatcher->in_flight() == 0);
    }

    SECTION("if the caller disconnects first, the idle dispatcher may be destroyed")
    {
        dispatcher->withdraw(id);
        REQUIRE(dispatcher->in_flight() == 0);
        dispatcher.reset();
        fixture.run_until([&] { return is_timer_fired; });
        CHECK_FALSE(is_called);
    }
}
