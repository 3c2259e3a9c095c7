#include "fakes/site/trial_caller.hpp"
#include "net/testing/raw_listener.hpp"
#include "net/testing/read_peer.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using namespace camphorrock::testing;
using camphorrock::fakes::caller_end;

namespace
{

struct caller_fixture
{
    explicit caller_fixture(std::size_t depth) : loop(event_loop::create().value())
    {
        fakes::trial_caller_options options;
        options.name = "c";
        options.gateways = {gateway.bound()};
        options.depth = depth;
        options.is_keyed = true;
        options.pause = milliseconds(1);
        caller = std::make_unique<fakes::trial_caller>(*loop, options);
        caller->start();
        accept();
    }

    void accept()
    {
        run_until(*loop, [&] { return (connection = gateway.accept()) != nullptr; });
    }

    // Runs until the request has arrived, and returns all that has.
    std::string receive(const std::string& id)
    {
        return read_until(*loop, *connection, "Request-Id: " + id + "\r\n");
    }

    void wait_for_end(std::size_t n)
    {
        run_until(*loop, [&] { return caller->answers()[n].end != caller_end::waiting; });
    }

    std::unique_ptr<event_loop> loop;
    raw_listener gateway;
    std::unique_ptr<raw_peer> connection;
    std::unique_ptr<fakes::trial_caller> caller;
};

std::string answer_of(int status, const std::string& id, const std::string& more = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " Text\r\nRequest-Id: " + id + "\r\n" +
           more + "Content-Length: 2\r\n\r\nok";
}

} // namespace

TEST_CASE("a caller sends no more requests than its depth before an answer")
{
    caller_fixture fixture(2);
    fixture.receive("c-1");
    run_for(*fixture.loop, milliseconds(20));
    CHECK(fixture.caller->in_flight() == 2);

    WHEN("two answers arrive together")
    {
        fixture.connection->send(answer_of(200, "c-0") + answer_of(503, "c-1"));
        fixture.receive("c-3");

        THEN("each belongs to the request in its place")
        {
            CHECK(fixture.caller->answers()[0].status == 200);
            CHECK(fixture.caller->answers()[1].status == 503);
            CHECK(fixture.caller->answers()[1].answered == "c-1");
            CHECK(fixture.caller->in_flight() == 2);
        }
    }
}

TEST_CASE("an answer in chunks, and one in two parts, are read whole")
{
    caller_fixture fixture(1);
    fixture.receive("c-0");
    fixture.connection->send(
        "HTTP/1.1 502 Text\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n");
    run_for(*fixture.loop, milliseconds(5));
    CHECK(fixture.caller->answers()[0].end == caller_end::waiting);
    fixture.connection->send("ok\r\n0\r\n\r\n");
    fixture.wait_for_end(0);
    CHECK(fixture.caller->answers()[0].status == 502);
}

TEST_CASE("requests behind an answer that closes the connection count as not read")
{
    caller_fixture fixture(3);
    fixture.receive("c-2");
    fixture.connection->send(answer_of(200, "c-0", "Connection: close\r\n"));
    fixture.wait_for_end(0);
    CHECK(fixture.caller->answers()[0].status == 200);
    CHECK(fixture.caller->answers()[1].end == caller_end::unread);
    CHECK(fixture.caller->answers()[2].end == caller_end::unread);

    THEN("the caller goes on, on another connection, with requests of new ids")
    {
        fixture.accept();
        CHECK(fixture.receive("c-3").find("c-1") == std::string::npos);
    }
}

TEST_CASE("requests of a connection that ends without an answer count as lost")
{
    caller_fixture fixture(2);
    fixture.receive("c-1");
    fixture.connection->reset();
    fixture.wait_for_end(0);
    CHECK(fixture.caller->answers()[0].end == caller_end::lost);
    CHECK(fixture.caller->answers()[1].end == caller_end::lost);
}

TEST_CASE("a caller that was stopped sends nothing more and still takes answers")
{
    caller_fixture fixture(1);
    fixture.receive("c-0");
    fixture.caller->stop();
    fixture.connection->send(answer_of(200, "c-0"));
    fixture.wait_for_end(0);
    run_for(*fixture.loop, milliseconds(20));
    CHECK(fixture.caller->answers().size() == 1);
    CHECK(fixture.caller->in_flight() == 0);
}
