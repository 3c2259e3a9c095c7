// Tests requests that the router itself sends a second time. The result of the second
// attempt does not prove that the first one did not run.

#include "router/forwarder.hpp"
#include "router/server_dispatcher.hpp"
#include "router/testing/accept_request.hpp"
#include "router/testing/context_fixture.hpp"
#include "router/testing/granted_authority.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>
#include <memory>
#include <vector>

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

constexpr duration request_timeout = seconds(60);
const std::string refused = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                            "Camphorrock-Outcome: not-run\r\n\r\n";

const std::string answered = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

bool has_revocation(const scheduler_actions& actions)
{
    return std::any_of(actions.begin(),
                       actions.end(),
                       [](const scheduler_action& it)
                       { return std::holds_alternative<send_revoke>(it); });
}

} // namespace

TEST_CASE(
    "the scheduler sends a request again if the server's connection is unresponsive")
{
    bool checks_epoch = GENERATE(true, false);
    CAPTURE(checks_epoch);
    context_fixture fixture;
    auto listener = std::make_unique<raw_listener>();
    granted_authority granted(listener->bound(), checks_epoch, fixture.loop->now());
    partition_load load({});
    request_end end;
    std::unique_ptr<server_dispatcher> dispatcher =
        server_dispatcher::create(fixture.context, granted.authority, load, owner, 3)
            .value();
    live_request_ptr request = fixture.make_request(asked_hash, request_timeout, end);
    dispatcher->submit(request,
                       [request](dispatch_result got)
                       {
                           got.end == dispatch_end::answered
                               ? request->answer(std::move(got.answer))
                               : request->refuse(got.why);
                       });
    std::unique_ptr<raw_peer> first = accept_request(fixture, *listener);

    WHEN("the server refuses the second attempt")
    {
        dispatcher->resend(fixture.loop->now());
        std::unique_ptr<raw_peer> second = accept_request(fixture, *listener);
        second->send(refused);
        fixture.run_until([&] { return end.is_ended; });

        THEN("the outcome is unknown, since the first attempt may have run")
        {
            CHECK(end.summary.reported_outcome == outcome::unknown);
        }
    }

    WHEN("the second attempt cannot connect to the server")
    {
        listener.reset();
        dispatcher->resend(fixture.loop->now());
        fixture.run_until([&] { return end.is_ended; });

        THEN("the outcome is unknown")
        {
            CHECK(end.summary.reported_outcome == outcome::unknown);
        }
    }

    WHEN("the second attempt is answered and the partition moves")
    {
        dispatcher->resend(fixture.loop->now());
        std::unique_ptr<raw_peer> second = accept_request(fixture, *listener);
        second->send(answered);
        fixture.run_until([&] { return end.is_ended; });
        scheduler_actions actions = granted.start_move(fixture.loop->now());

        THEN("a server without epoch checks keeps it while the first attempt may run")
        {
            CHECK(end.summary.reported_outcome == outcome::ran);
            CHECK(has_revocation(actions) == checks_epoch);
        }
    }

    WHEN("the service's retry_percent is 0")
    {
        fixture.service.retry_percent = 0;
        fixture.retries.configure({fixture.service});
        dispatcher->resend(fixture.loop->now());
        first->send(answered);
        fixture.run_until([&] { return end.is_ended; });

        THEN("there is no second attempt, and the first one is answered")
        {
            CHECK(end.summary.reported_outcome == outcome::ran);
            CHECK_FALSE(listener->accept());
        }
    }

    WHEN("the first attempt is refused, and there is no second one")
    {
        first->send(refused);
        fixture.run_until([&] { return end.is_ended; });

        THEN("the outcome is not-run")
        {
            CHECK(end.summary.reported_outcome == outcome::not_run);
        }
    }
}

TEST_CASE("a router refuses requests at once if their scheduler is unresponsive")
{
    std::vector<std::unique_ptr<request_end>> ends;
    context_fixture fixture;
    raw_listener unresponsive;
    server_entry server{owner,
                        endpoint("127.0.0.1:1"),
                        true,
                        instance_id("r2"),
                        unresponsive.bound(),
                        since};
    shard_record record = record_of(server);
    fixture.routes.update_if_newer(record);
    forwarder sender(fixture.context);
    const route to = fixture.routes.find(record.shard, asked_hash);
    auto forward_request = [&]
    {
        ends.push_back(std::make_unique<request_end>());
        sender.forward(fixture.make_request(asked_hash, request_timeout, *ends.back()),
                       to);
        return ends.back()->is_ended;
    };

    THEN("earlier requests wait for their answer, and later ones end as not-run")
    {
        CHECK_FALSE(forward_request());
        fixture.run_until(forward_request);
        CHECK(ends.back()->summary.reported_outcome == outcome::not_run);
        CHECK(ends.back()->summary.why == refusal::scheduler_unreachable);
        CHECK_FALSE(ends.front()->is_ended);
    }
}

TEST_CASE("a router forwards a request again after the connection to its scheduler broke")
{
    context_fixture fixture;
    raw_listener old_scheduler;
    auto new_scheduler = std::make_unique<raw_listener>();
    server_entry server{owner,
                        endpoint("127.0.0.1:1"),
                        true,
                        instance_id("r2"),
                        old_scheduler.bound(),
                        since};
    shard_record record = record_of(server);
    fixture.routes.update_if_newer(record);
    forwarder sender(fixture.context);
    request_end end;
    live_request_ptr request = fixture.make_request(asked_hash, request_timeout, end);
    sender.forward(request, fixture.routes.find(record.shard, asked_hash));
    std::unique_ptr<raw_peer> first = accept_request(fixture, old_scheduler);
    record.version = {2};
    record.servers.front().scheduler_peer = new_scheduler->bound();
    fixture.routes.update_if_newer(record);

    WHEN("the first connection breaks and the new scheduler refuses")
    {
        first.reset();
        std::unique_ptr<raw_peer> second = accept_request(fixture, *new_scheduler);
        second->send(refused);
        fixture.run_until([&] { return end.is_ended; });

        THEN(
            "the outcome is unknown, since the first scheduler may have sent the request")
        {
            CHECK(end.summary.reported_outcome == outcome::unknown);
        }
    }

    WHEN("the first connection breaks and the new scheduler cannot be reached")
    {
        new_scheduler.reset();
        first.reset();
        fixture.run_until([&] { return end.is_ended; });

        THEN("the outcome is unknown")
        {
            CHECK(end.summary.reported_outcome == outcome::unknown);
        }
    }
}
