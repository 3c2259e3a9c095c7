#include "net/testing/raw_listener.hpp"
#include "router/server_connections.hpp"
#include "router/testing/parts_fixture.hpp"
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

// A server that takes connections and answers nothing.
struct silent_server
{
    explicit silent_server(parts_fixture& with) : fixture(with) {}

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

    void take(std::size_t n)
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

    parts_fixture& fixture;
    raw_listener listener;
    std::vector<std::unique_ptr<raw_peer>> peers;
    std::vector<exchange_end> ended;
};

} // namespace

TEST_CASE("the connections of a server are shared out")
{
    SECTION("within the limit, with room for grants and for every slot")
    {
        for (unsigned slots = 1; slots < 200; ++slots)
        {
            for (unsigned all = std::max(2U, slots); all < 300; ++all)
            {
                connection_shares shares = shares_of(make_service(slots, all));
                REQUIRE(shares.requests.open + shares.control.open <= all);
                REQUIRE(shares.requests.pooled <= shares.requests.open);
                REQUIRE(shares.control.pooled >= 1);
                REQUIRE(shares.requests.pooled >= std::max(1U, std::min(slots, all - 1)));
            }
        }
    }
    SECTION("those for requests stay few where there are many")
    {
        CHECK(shares_of(make_service(3, 110)).requests.pooled == 32);
        CHECK(shares_of(make_service(100, 1000)).requests.pooled == 200);
    }
}

TEST_CASE("a scheduler never has more connections to a server than it takes")
{
    parts_fixture fixture;
    silent_server server(fixture);
    server_connections connections(*fixture.http, *fixture.control_http);
    const std::set<endpoint> servers{server.listener.bound()};
    connections.update(make_service(3, 5), servers);

    GIVEN("more requests and more calls than connections")
    {
        for (unsigned n = 0; n < 8; ++n)
        {
            server.send(*fixture.http, connection_choice::fresh);
            server.send(*fixture.control_http);
        }
        server.take(5);

        THEN("the others wait")
        {
            fixture.run_on();
            CHECK(server.peers.size() == 5);
            CHECK(server.listener.accept() == nullptr);
            CHECK(server.ended.empty());
        }
        WHEN("the limit is raised")
        {
            connections.update(make_service(3, 9), servers);
            server.send(*fixture.http, connection_choice::fresh);
            server.take(6);

            THEN("more are opened")
            {
                CHECK(server.peers.size() >= 6);
            }
        }
        WHEN("the pool of requests is dropped and more are sent")
        {
            fixture.http->drop_connections(server.listener.bound());
            server.send(*fixture.http, connection_choice::fresh);
            fixture.run_until([&] { return !server.ended.empty(); });

            THEN("nothing is sent rather than one connection too many opened")
            {
                CHECK(server.ended.front() == exchange_end::not_connected);
                CHECK(server.listener.accept() == nullptr);
            }
        }
    }
    GIVEN("a connection to a server that another router schedules now")
    {
        server.send(*fixture.http);
        server.take(1);
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
