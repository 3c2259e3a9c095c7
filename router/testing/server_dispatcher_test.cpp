#include "net/testing/raw_listener.hpp"
#include "router/server_dispatcher.hpp"
#include "router/testing/accept_request.hpp"
#include "router/testing/context_fixture.hpp"
#include "router/testing/granted_authority.hpp"
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

// Guards against a late loop that sends what it decided to send before: under an
// authority that has ended, or for a caller that has left (docs/incidents/gone.md).
TEST_CASE("a request whose reason to be sent ends before it is sent is withdrawn")
{
    context_fixture fixture;
    raw_listener listener;
    granted_authority granted(listener.bound(), true, fixture.loop->now());
    partition_load load({});
    request_end end;
    std::unique_ptr<server_dispatcher> dispatcher =
        server_dispatcher::create(fixture.context, granted.authority, load, owner, 3)
            .value();
    bool has_caller_left = false;
    live_request_ptr request = fixture.make_request(asked_hash, seconds(5), end);
    request->has_caller_left = [&]
    {
        return has_caller_left;
    };
    std::optional<dispatch_result> got;
    dispatcher->submit(request, [&](dispatch_result it) { got = std::move(it); });
    REQUIRE(dispatcher->in_flight() == 1);

    SECTION("its partition moves to another server")
    {
        granted.start_move(fixture.loop->now());
        fixture.run_until([&] { return got.has_value(); });
        CHECK(got->end == dispatch_end::not_run);
        CHECK(got->why.why == refusal::no_authority);
    }
    SECTION("its caller leaves")
    {
        has_caller_left = true;
        fixture.run_until([&] { return got.has_value(); });
        CHECK(got->end == dispatch_end::not_run);
    }
    CHECK(dispatcher->in_flight() == 0);
}
