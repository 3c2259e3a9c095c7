#include "fakes/site/site_server.hpp"
#include "net/pipelined_server.hpp"
#include "net/testing/read_peer.hpp"
#include "testing/test_headers.hpp"

#include <set>

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

constexpr unsigned requests = 40;

struct server_fixture
{
    server_fixture()
        : loop(event_loop::create().value()),
          server(*loop, {.id = "s1", .work = milliseconds(1)})
    {
        pipelined_server_options options;
        options.common.address = endpoint("127.0.0.1:0");
        port = create_pipelined_server(*loop, options, server).value();
        peer = std::make_unique<raw_peer>(port->bound());
    }

    // Sends one request on a connection of its own and returns the head of its answer.
    std::string exchange(const std::string& id)
    {
        raw_peer caller(port->bound());
        caller.send("POST /reserve/" + id + " HTTP/1.1\r\nRequest-Id: " + id +
                    "\r\nContent-Length: 0\r\n\r\n");
        return read_until(*loop, caller, "\r\n\r\n");
    }

    std::unique_ptr<event_loop> loop;
    fakes::site_server server;
    std::unique_ptr<http_server> port;
    std::unique_ptr<raw_peer> peer;
};

std::string status_of(const std::string& answer)
{
    return answer.substr(std::string("HTTP/1.1 ").size(), 3);
}

} // namespace

TEST_CASE("a server that refuses a share of requests runs exactly the others")
{
    server_fixture fixture;
    fixture.server.faults().refuse_share = 0.5;
    fixture.server.faults().refuse_statuses = {408, 429};
    std::size_t refused = 0;
    for (unsigned n = 0; n < requests; ++n)
    {
        const std::string answer = fixture.exchange(std::to_string(n));
        const bool is_refusal = answer.find("Not-Executed") != std::string::npos;
        const std::set<std::string> allowed = is_refusal
                                                  ? std::set<std::string>{"408", "429"}
                                                  : std::set<std::string>{"200"};
        CHECK(allowed.count(status_of(answer)) == 1);
        refused += is_refusal ? 1 : 0;
    }
    CHECK(refused > 0);
    CHECK(fixture.server.runs().size() == requests - refused);
}

TEST_CASE("a server that answers runs with other statuses doesn't say 'not run'")
{
    server_fixture fixture;
    fixture.server.faults().run_status_share = 1;
    fixture.server.faults().run_statuses = {421};
    const std::string answer = fixture.exchange("a");
    CHECK(status_of(answer) == "421");
    CHECK(answer.find("Not-Executed") == std::string::npos);
    REQUIRE(fixture.server.runs().size() == 1);
    CHECK(fixture.server.runs()[0].server == "s1");
}

TEST_CASE("an order that takes its time has no effect before it is answered")
{
    server_fixture fixture;
    fixture.server.faults().order_time = milliseconds(30);
    const std::string body = R"({"from":0,"to":9,"fence":1,"hold_time":"60000ms"})";
    fixture.peer->send("POST /camphorrock/grant HTTP/1.1\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
    run_until(*fixture.loop, [&] { return !fixture.server.arrivals().empty(); });
    CHECK_FALSE(fixture.server.holds(shard_key{5}));
    const std::string answer = read_until(*fixture.loop, *fixture.peer, "\r\n\r\n");
    CHECK(status_of(answer) == "200");
    CHECK(fixture.server.holds(shard_key{5}));
}
