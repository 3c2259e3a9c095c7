#include "net/testing/raw_listener.hpp"
#include "router/server_connections.hpp"
#include "router/testing/context_fixture.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

service_config make_service(unsigned slots, unsigned connections)
{
    service_config made;
    made.slots_per_server = slots;
    made.connections_per_server = connections;
    return made;
}

// A server that accepts connections and answers no request.
struct unresponsive_server
{
    explicit unresponsive_server(context_fixture& with) : fixture(with) {}

    void send(http_client& client, connection_choice choice = connection_choice::pooled)
    {
        exchange_options options;
        options.timeout = seconds(60);
        options.connection = choice;
        client.send(listener.bound(),
                    {"GET", "/", {}, ""},
                    options,
                    [this](const exchange_result& got) { ended.push_back(got.end); });
    }

    void accept_connections(std::size_t n)
    {
        fixture.run_until(
            [&]
            {
                while (std::unique_ptr<raw_peer> it = listener.accept())
                {
                    peers.push_back(std::move(it));
                }
                return peers.size() >= n;
            });
    }

    context_fixture& fixture;
    raw_listener listener;
    std::vector<std::unique_ptr<raw_peer>> peers;
    std::vector<exchange_end> ended;
};

} // namespace

TEST_CASE("connections_per_server is divided between requests and grants")
{
    SECTION("within the limit, with at least one for grants and enough for every slot")
    {
        for (unsigned slots = 1; slots < 200; ++slots)
        {
            for (unsigned all = std::max(2U, slots); all < 300; ++all)
            {
                server_connection_limits limits =
                    divide_connections(make_service(slots, all));
                REQUIRE(limits.requests.open + limits.control.open <= all);
                REQUIRE(limits.requests.pooled <= limits.requests.open);
                REQUIRE(limits.control.pooled >= 1);
                REQUIRE(limits.requests.pooled >= std::max(1U, std::min(slots, all - 1)));
            }
        }
    }
    SECTION("the pooled connections for requests are limited even if the limit is high")
    {
        CHECK(divide_connections(make_service(3, 110)).requests.pooled == 32);
        CHECK(divide_connections(make_service(100, 1000)).requests.pooled == 200);
    }
}

TEST_CASE("a scheduler never exceeds connections_per_server")
{
    context_fixture fixture;
    unresponsive_server server(fixture);
    server_connections connections(*fixture.http, *fixture.control_http);
    const std::set<endpoint> servers{server.listener.bound()};
    connections.update(make_service(3, 5), servers);

    GIVEN("more requests and more control calls than connections")
    {
        for (unsigned n = 0; n < 8; ++n)
        {
            server.send(*fixture.http, connection_choice::fresh);
            server.send(*fixture.control_http);
        }
        server.accept_connections(5);

        THEN("the excess exchanges wait")
        {
            fixture.run_some_turns();
            CHECK(server.peers.size() == 5);
            CHECK(server.listener.accept() == nullptr);
            CHECK(server.ended.empty());
        }
        WHEN("the limit is raised")
        {
            connections.update(make_service(3, 9), servers);
            server.send(*fixture.http, connection_choice::fresh);
            server.accept_connections(6);

            THEN("more connections are opened")
            {
                CHECK(server.peers.size() >= 6);
            }
        }
        WHEN("the pooled connections for requests are dropped and a request is sent")
        {
            fixture.http->drop_connections(server.listener.bound());
            server.send(*fixture.http, connection_choice::fresh);
            fixture.run_until([&] { return !server.ended.empty(); });

            THEN("it ends as not_connected, and no connection above the limit is opened")
            {
                CHECK(server.ended.front() == exchange_end::not_connected);
                CHECK(server.listener.accept() == nullptr);
            }
        }
    }
    GIVEN("an idle connection to a server that gets another scheduler")
    {
        server.send(*fixture.http);
        server.accept_connections(1);
        server.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        fixture.run_until([&] { return !server.ended.empty(); });
        connections.update(make_service(3, 5), {});

        THEN("it is closed")
        {
            fixture.run_until(
                [&]
                {
                    server.peers[0]->read_some();
                    return server.peers[0]->is_ended();
                });
            CHECK(server.peers[0]->is_ended());
        }
    }
}
