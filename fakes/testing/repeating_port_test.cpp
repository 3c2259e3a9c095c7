#include "fakes/site/repeating_port.hpp"
#include "fakes/site/site_server.hpp"
#include "net/testing/read_peer.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

struct port_fixture
{
    explicit port_fixture(fakes::repeating_port_options options = {},
                          duration work = milliseconds(1))
        : loop(event_loop::create().value()),
          server(*loop, {.id = "s1", .is_keyed = true, .work = work}),
          port(fakes::repeating_port::create(*loop, options, server).value())
    {
    }

    // The server has no grant of any key, and refuses a request for one.
    static std::string request(const std::string& id)
    {
        return "POST /visit/" + id + " HTTP/1.1\r\nRequest-Id: " + id +
               "\r\nShard-Key: 7\r\nContent-Length: 0\r\n\r\n";
    }

    // Grants all keys.
    static std::string grant()
    {
        const std::string body =
            R"({"from":0,"to":65535,"fence":1,"hold_time":"60000ms"})";
        return "POST /camphorrock/grant HTTP/1.1\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::unique_ptr<event_loop> loop;
    fakes::site_server server;
    std::unique_ptr<fakes::repeating_port> port;
};

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t n = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
    {
        ++n;
    }
    return n;
}

} // namespace

TEST_CASE("a refusal is written once more where the next answer is due")
{
    port_fixture fixture;
    raw_peer caller(fixture.port->bound());
    caller.send(port_fixture::request("r1"));
    const std::string first = read_until(*fixture.loop, caller, "\r\n\r\n");
    REQUIRE(first.starts_with("HTTP/1.1 421"));
    run_for(*fixture.loop, milliseconds(20));

    THEN("nothing more arrives before the next request")
    {
        CHECK(caller.read_some().empty());
        CHECK(fixture.port->copies().empty());
    }
    THEN("the next request on the connection gets the copy, and then its own answer")
    {
        caller.send(port_fixture::grant());
        const std::string granted = read_until(*fixture.loop, caller, "HTTP/1.1 200");
        CHECK(granted.starts_with(first));
        caller.send(port_fixture::request("r1"));
        const std::string answer = read_until(*fixture.loop, caller, "s1 ran");
        CHECK(count_of(answer, "HTTP/1.1 421") == 0);
        REQUIRE(fixture.port->copies().size() == 1);
        CHECK(fixture.port->copies()[0].request_id == "r1");
        CHECK(fixture.port->copies()[0].status == 421);
        CHECK(fixture.port->copies()[0].due_request_id.empty());
    }
    THEN("the same request, sent again, gets a copy that bears its own id")
    {
        caller.send(port_fixture::request("r1"));
        std::string got;
        run_until(*fixture.loop,
                  [&]
                  {
                      got += caller.read_some();
                      return count_of(got, "Request-Id: r1") == 2;
                  });
        REQUIRE(fixture.port->copies().size() == 1);
        CHECK(fixture.port->copies()[0].due_request_id == "r1");
    }
    THEN("a request on another connection gets its own answer only")
    {
        raw_peer other(fixture.port->bound());
        other.send(port_fixture::request("r2"));
        const std::string got = read_until(*fixture.loop, other, "\r\n\r\n");
        CHECK(got.find("Request-Id: r2") != std::string::npos);
        CHECK(fixture.port->copies().empty());
    }
}

TEST_CASE("an answer of a request that ran is written once")
{
    port_fixture fixture;
    raw_peer caller(fixture.port->bound());
    caller.send(port_fixture::grant());
    read_until(*fixture.loop, caller, "\r\n\r\n");
    caller.send(port_fixture::request("r1"));
    read_until(*fixture.loop, caller, "s1 ran");
    caller.send(port_fixture::request("r2"));
    const std::string got = read_until(*fixture.loop, caller, "/visit/r2");
    CHECK(count_of(got, "HTTP/1.1") == 1);
    CHECK(fixture.port->copies().empty());
}

TEST_CASE("requests that arrive together are answered one after the other")
{
    port_fixture fixture({.copy_share = 0});
    raw_peer caller(fixture.port->bound());
    caller.send(port_fixture::grant() + port_fixture::request("r1") +
                port_fixture::request("r2"));
    const std::string got = read_until(*fixture.loop, caller, "/visit/r2");
    CHECK(got.find("/visit/r1") < got.find("/visit/r2"));
    CHECK(fixture.server.runs().size() == 2);
}

TEST_CASE("a caller that leaves ends its request at the server")
{
    port_fixture fixture({}, seconds(3600));
    {
        raw_peer caller(fixture.port->bound());
        caller.send(port_fixture::grant());
        read_until(*fixture.loop, caller, "\r\n\r\n");
        caller.send(port_fixture::request("r1"));
        run_until(*fixture.loop, [&] { return fixture.server.runs().size() == 1; });
    }
    run_until(*fixture.loop, [&] { return fixture.server.cancelled() == 1; });
    CHECK(fixture.server.runs().size() == 1);
}

TEST_CASE("without copies no refusal is written twice")
{
    port_fixture fixture({.copy_share = 0});
    raw_peer caller(fixture.port->bound());
    for (const char* id : {"r1", "r2", "r3"})
    {
        caller.send(port_fixture::request(id));
        const std::string got = read_until(*fixture.loop, caller, "\r\n\r\n");
        CHECK(got.find(std::string("Request-Id: ") + id) != std::string::npos);
    }
    CHECK(fixture.port->copies().empty());
}

TEST_CASE("connections that the port closes end, with their requests, and new ones work")
{
    port_fixture fixture({}, seconds(3600));
    raw_peer caller(fixture.port->bound());
    caller.send(port_fixture::grant());
    read_until(*fixture.loop, caller, "\r\n\r\n");
    caller.send(port_fixture::request("r1"));
    run_until(*fixture.loop, [&] { return fixture.server.runs().size() == 1; });
    fixture.port->close_connections();
    CHECK(read_to_end(*fixture.loop, caller).empty());
    CHECK(fixture.server.cancelled() == 1);
    raw_peer other(fixture.port->bound());
    other.send(port_fixture::grant());
    CHECK(read_until(*fixture.loop, other, "\r\n\r\n").starts_with("HTTP/1.1 200"));
}

TEST_CASE("bytes that are no request end the connection")
{
    port_fixture fixture;
    raw_peer caller(fixture.port->bound());
    caller.send("no request\r\n\r\n");
    CHECK(read_to_end(*fixture.loop, caller).empty());
}
