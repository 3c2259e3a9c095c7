// Tests what the result of an ownership call shows about the server's process and
// connections.

#include "codec/messages_json.hpp"
#include "router/ownership_client.hpp"
#include "router/testing/accept_request.hpp"
#include "router/testing/context_fixture.hpp"
#include "testing/test_headers.hpp"

#include <vector>

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

std::string clock_answer_to(int id)
{
    clock_answer answer;
    answer.clock_ms = 5;
    Json::Value body;
    body["jsonrpc"] = "2.0";
    body["id"] = id;
    body["result"] = write_message(answer);
    const std::string text = body.toStyledString();
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) +
           "\r\n\r\n" + text;
}

} // namespace

TEST_CASE("an ownership call without an answer is sent again on a new connection")
{
    context_fixture fixture;
    raw_listener listener;
    std::vector<ownership_call_result> ends;
    std::vector<endpoint> unresponsive;
    ownership_client client(*fixture.loop,
                            fixture.rpc,
                            shard_id("diary"),
                            [&](const endpoint& address, time_point)
                            { unresponsive.push_back(address); });
    const time_point started_at = fixture.loop->now();
    client.get_clock(listener.bound(),
                     [&](const ownership_call_result& end) { ends.push_back(end); });
    std::unique_ptr<raw_peer> first = accept_request(fixture, listener);

    WHEN("the first attempt is answered")
    {
        first->send(clock_answer_to(1));
        fixture.run_until([&] { return !ends.empty(); });

        THEN("the call ends with that answer, and no connection is reported unresponsive")
        {
            CHECK(ends[0].reply.has_value());
            CHECK(unresponsive.empty());
        }
    }

    WHEN("only the attempt on the new connection is answered")
    {
        std::unique_ptr<raw_peer> second = accept_request(fixture, listener);
        CHECK(ends.empty());
        second->send(clock_answer_to(2));
        fixture.run_until([&] { return !unresponsive.empty(); });

        THEN(
            "the call ends with it, and the pooled connections are reported unresponsive")
        {
            REQUIRE(ends.size() == 1);
            CHECK(ends[0].reply.has_value());
            CHECK(ends[0].sent_at >= started_at);
            CHECK(unresponsive == std::vector<endpoint>{listener.bound()});
        }
    }

    WHEN("the server was paused and answers both attempts at once")
    {
        std::unique_ptr<raw_peer> second = accept_request(fixture, listener);
        second->send(clock_answer_to(2));
        first->send(clock_answer_to(1));
        bool is_delay_over = false;
        fixture.run_until([&] { return !ends.empty(); });
        timer_handle later =
            fixture.loop->after(milliseconds(60), [&] { is_delay_over = true; });
        fixture.run_until([&] { return is_delay_over; });

        THEN("the pooled connections are not reported unresponsive")
        {
            CHECK(ends.size() == 1);
            CHECK(unresponsive.empty());
        }
    }

    WHEN("neither attempt is answered")
    {
        std::unique_ptr<raw_peer> second = accept_request(fixture, listener);
        fixture.run_until([&] { return !ends.empty(); });

        THEN("the call ends once, without an answer")
        {
            CHECK(ends.size() == 1);
            CHECK_FALSE(ends[0].reply.has_value());
            CHECK_FALSE(ends[0].is_connection_refused);
            CHECK(unresponsive.empty());
        }
    }
}

TEST_CASE("only a refused connection shows that a server's process does not run")
{
    context_fixture fixture;
    auto http =
        http_client::create(*fixture.loop, {.max_connections_per_endpoint = 1}).value();
    rpc_client rpc(*http);
    ownership_client client(
        *fixture.loop, rpc, shard_id("diary"), [](const endpoint&, time_point) {});
    auto listener = std::make_unique<raw_listener>();
    const endpoint address = listener->bound();
    std::vector<ownership_call_result> ends;
    auto store_result = [&](const ownership_call_result& end)
    {
        ends.push_back(end);
    };

    WHEN("no process listens on the address")
    {
        listener.reset();
        client.get_clock(address, store_result);
        fixture.run_until([&] { return ends.size() == 1; });

        THEN("the connection is reported as refused")
        {
            CHECK(ends[0].is_connection_refused);
        }
    }
    WHEN("a server does not answer and a second call waits for its connection")
    {
        client.get_clock(address, store_result);
        client.get_clock(address, store_result);
        fixture.run_until([&] { return ends.size() == 2; });

        THEN("no call reports a refused connection, since the server may still run")
        {
            CHECK_FALSE(ends[0].is_connection_refused);
            CHECK_FALSE(ends[1].is_connection_refused);
        }
    }
}
