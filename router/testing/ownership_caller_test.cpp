// What the end of an ownership call says of the server's process and connections.

#include "codec/messages_json.hpp"
#include "router/ownership_caller.hpp"
#include "router/testing/parts_fixture.hpp"
#include "router/testing/take_request.hpp"
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

TEST_CASE("an ownership message that is not answered goes out on a new connection")
{
    parts_fixture fixture;
    raw_listener listener;
    std::vector<ownership_end> ends;
    std::vector<endpoint> silent;
    ownership_caller caller(*fixture.loop,
                            fixture.rpc,
                            shard_id("diary"),
                            [&](const endpoint& address, time_point)
                            { silent.push_back(address); });
    const time_point begun = fixture.loop->now();
    caller.clock(listener.bound(),
                 [&](const ownership_end& end) { ends.push_back(end); });
    std::unique_ptr<raw_peer> first = take_request(fixture, listener);

    WHEN("the first connection answers")
    {
        first->send(clock_answer_to(1));
        fixture.run_until([&] { return !ends.empty(); });

        THEN("that is all")
        {
            CHECK(ends[0].reply.has_value());
            CHECK(silent.empty());
        }
    }

    WHEN("only the new one answers")
    {
        std::unique_ptr<raw_peer> second = take_request(fixture, listener);
        CHECK(ends.empty());
        second->send(clock_answer_to(2));
        fixture.run_until([&] { return !silent.empty(); });

        THEN("the call ends with that answer, and the kept connections count as silent")
        {
            REQUIRE(ends.size() == 1);
            CHECK(ends[0].reply.has_value());
            CHECK(ends[0].sent_at >= begun);
            CHECK(silent == std::vector<endpoint>{listener.bound()});
        }
    }

    WHEN("the server paused, and both answer at once")
    {
        std::unique_ptr<raw_peer> second = take_request(fixture, listener);
        second->send(clock_answer_to(2));
        first->send(clock_answer_to(1));
        bool is_passed = false;
        fixture.run_until([&] { return !ends.empty(); });
        timer_handle later =
            fixture.loop->after(milliseconds(60), [&] { is_passed = true; });
        fixture.run_until([&] { return is_passed; });

        THEN("the kept connections are kept")
        {
            CHECK(ends.size() == 1);
            CHECK(silent.empty());
        }
    }

    WHEN("neither answers")
    {
        std::unique_ptr<raw_peer> second = take_request(fixture, listener);
        fixture.run_until([&] { return !ends.empty(); });

        THEN("the call ends once, without an answer")
        {
            CHECK(ends.size() == 1);
            CHECK_FALSE(ends[0].reply.has_value());
            CHECK_FALSE(ends[0].is_connection_refused);
            CHECK(silent.empty());
        }
    }
}

TEST_CASE("only a refused connection shows that a server's process is gone")
{
    parts_fixture fixture;
    auto http =
        http_client::create(*fixture.loop, {.max_connections_per_endpoint = 1}).value();
    rpc_client rpc(*http);
    ownership_caller caller(
        *fixture.loop, rpc, shard_id("diary"), [](const endpoint&, time_point) {});
    auto listener = std::make_unique<raw_listener>();
    const endpoint address = listener->bound();
    std::vector<ownership_end> ends;
    auto keep = [&](const ownership_end& end)
    {
        ends.push_back(end);
    };

    WHEN("nobody listens")
    {
        listener.reset();
        caller.clock(address, keep);
        fixture.run_until([&] { return ends.size() == 1; });

        THEN("it is gone")
        {
            CHECK(ends[0].is_connection_refused);
        }
    }
    WHEN("a frozen server answers nothing and a second call waits for its connection")
    {
        caller.clock(address, keep);
        caller.clock(address, keep);
        fixture.run_until([&] { return ends.size() == 2; });

        THEN("it may run on")
        {
            CHECK_FALSE(ends[0].is_connection_refused);
            CHECK_FALSE(ends[1].is_connection_refused);
        }
    }
}
