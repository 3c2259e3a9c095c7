#include "net/testing/loop_fixture.hpp"
#include "net/testing/raw_peer.hpp"
#include "testing/test_headers.hpp"

#include <ev.h>

using namespace camphorrock;
using camphorrock::testing::loop_fixture;
using camphorrock::testing::raw_peer;

namespace
{

// A handler that keeps each responder for later.
struct kept_responders
{
    std::vector<std::shared_ptr<http_responder>> all;

    void operator()(const http_request&, std::shared_ptr<http_responder> responder)
    {
        all.push_back(std::move(responder));
    }
};

constexpr const char* get_request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

TEST_CASE("an answer can be sent later, in pieces, or never")
{
    GIVEN("a handler that does not answer at once")
    {
        kept_responders kept;
        loop_fixture net([&](const http_request& it, std::shared_ptr<http_responder> r)
                         { kept(it, std::move(r)); });
        raw_peer peer(net.server->bound());
        peer.send(get_request);
        net.run_until([&] { return kept.all.size() == 1; });
        CHECK(net.server->in_flight() == 1);

        WHEN("it answers later")
        {
            kept.all[0]->respond({200, {}, "late"});
            const std::string got = net.read(peer, "late");

            THEN("the answer is whole and a second one has no effect")
            {
                CHECK(got.starts_with("HTTP/1.1 200"));
                CHECK(got.find("Content-Length: 4") != std::string::npos);
                kept.all[0]->respond({500, {}, "again"});
                net.run_until([&] { return net.server->in_flight() == 0; });
                CHECK(peer.read_some().empty());
            }
        }

        WHEN("it aborts, or drops the responder")
        {
            if (GENERATE(true, false))
            {
                kept.all[0]->abort();
            }
            kept.all.clear();

            THEN("the connection ends without a byte of an answer")
            {
                CHECK(net.read_to_end(peer).empty());
                CHECK(net.server->in_flight() == 0);
            }
        }

        WHEN("it aborts within a stream")
        {
            kept.all[0]->start_stream({});
            kept.all[0]->add_piece("first");
            const std::string got = net.read(peer, "first");
            CHECK(got.find("chunked") != std::string::npos);
            kept.all[0]->add_piece("second");
            net.read(peer, "second");
            kept.all[0]->abort();

            THEN("the connection ends without the last chunk")
            {
                CHECK(net.read_to_end(peer).find("0\r\n\r\n") == std::string::npos);
            }
        }

        WHEN("the caller disconnects before an answer or within a stream")
        {
            bool is_disconnected = false;
            if (GENERATE(true, false))
            {
                kept.all[0]->start_stream({});
                kept.all[0]->add_piece("first");
                net.read(peer, "first");
            }
            kept.all[0]->on_disconnect([&] { is_disconnected = true; });
            peer.close();

            THEN("on_disconnect is called once, and an answer has no effect")
            {
                net.run_until([&] { return is_disconnected; });
                is_disconnected = false;
                kept.all[0]->respond({200, {}, "late"});
                kept.all.clear();
                net.run_until([&] { return net.server->connections() == 0; });
                CHECK_FALSE(is_disconnected);
            }
        }

        WHEN("the server stops accepting")
        {
            net.server->stop_accepting();

            THEN("new connections are refused and the request is still answered")
            {
                CHECK_FALSE(raw_peer(net.server->bound()).is_connected());
                kept.all[0]->respond({200, {}, "last"});
                const std::string got = net.read_to_end(peer);
                CHECK(got.find("Connection: close") != std::string::npos);
                CHECK(got.ends_with("last"));
            }
        }

        WHEN("the server is destroyed")
        {
            net.server.reset();

            THEN("the remaining responders have no effect")
            {
                kept.all[0]->respond({200, {}, "late"});
                CHECK(net.read_to_end(peer).empty());
            }
        }
    }
}

TEST_CASE("a request that is malformed or too large never reaches the handler")
{
    http_server_options options;
    options.max_header_bytes = 4096;
    options.max_body_bytes = 1000;
    loop_fixture net(camphorrock::testing::echo, options);
    raw_peer peer(net.server->bound());

    struct row
    {
        std::string sent;
        std::string status;
    };
    const std::string host = "Host: a\r\n";
    const std::string post = "POST / HTTP/1.1\r\n" + host;
    const row bad = GENERATE_COPY(
        row{"nonsense\r\n\r\n", ""},
        row{"GET / HTTP/1.1\r\n\r\n", "400"},
        row{"GET /" + std::string(6000, 'x') + " HTTP/1.1\r\n" + host + "\r\n", "4"},
        row{"GET / HTTP/1.1\r\n" + host + "A: " + std::string(6000, 'x') + "\r\n\r\n",
            "431"},
        row{"GET / HTTP/1.1\r\n" + host + "A: " + std::string(60000, 'x') + "\r\n\r\n",
            "431"},
        row{post + "Content-Length: 1001\r\n\r\n", "413"},
        row{post + "Content-Length: x\r\n\r\n", "400"},
        row{post + "Content-Length: -1\r\n\r\n", "400"},
        row{post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
        row{post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
            "400"},
        row{post + "Transfer-Encoding: gzip\r\n\r\n", "501"},
        row{post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
        row{post + "Transfer-Encoding: chunked\r\n\r\n5dc\r\n" + std::string(1500, 'x') +
                "\r\n0\r\n\r\n",
            "413"},
        row{post + "Transfer-Encoding: chunked\r\n\r\n7530\r\n" +
                std::string(30000, 'x') + "\r\n0\r\n\r\n",
            ""});
    INFO(bad.sent.substr(0, 90));
    peer.send(bad.sent);
    peer.shut_down_sending();
    const std::string got = net.read_to_end(peer);
    CHECK(got.starts_with(bad.status.empty() ? "" : "HTTP/1.1 " + bad.status));
    CHECK(got.find(" 200 ") == std::string::npos);
    CHECK(net.handler.received_requests.empty());
}

TEST_CASE("the server keeps serving after malformed requests")
{
    loop_fixture net;
    rc::prop(
        "a randomly corrupted request",
        [&]
        {
            std::string sent = "POST /a/b?c HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                               "Connection: close\r\n\r\nbody";
            for (int i = *rc::gen::inRange(1, 4); i > 0; --i)
            {
                const auto at = *rc::gen::inRange<std::size_t>(0, sent.size());
                sent.replace(
                    at, *rc::gen::inRange(0, 3), *rc::gen::arbitrary<std::string>());
            }
            raw_peer peer(net.server->bound());
            peer.send(sent);
            peer.shut_down_sending();
            net.read_to_end(peer);
            RC_ASSERT(net.exchange({"GET", "/", {}, ""}).end == exchange_end::answered);
        });
}

TEST_CASE("an answer keeps its headers")
{
    loop_fixture net(
        [](const http_request&, const std::shared_ptr<http_responder>& responder)
        {
            http_response answer;
            answer.headers.add("Set-Cookie", "a");
            answer.headers.add("Set-Cookie", "b\tc");
            answer.headers.add("Content-Length", "42");
            answer.headers.add("Connection", "X");
            responder->respond(std::move(answer));
        });
    const exchange_result got = net.exchange({"HEAD", "/", {}, ""});
    REQUIRE(got.end == exchange_end::answered);
    CHECK(got.answer.headers.find("Content-Length") == "42");
    CHECK_FALSE(got.answer.headers.find("Connection"));
    std::string cookies;
    for (const http_header& it : got.answer.headers.all())
    {
        cookies += it.name == "Set-Cookie" ? it.value + ";" : "";
    }
    CHECK(cookies == "a;b c;");
    CHECK(net.exchange({"GET", "/", {}, ""}).answer.headers.find("Content-Length") ==
          "0");
}

TEST_CASE("on_disconnect is called for a caller that left before the handler began")
{
    int disconnects = 0;
    std::shared_ptr<http_responder> kept;
    loop_fixture net(
        [&](const http_request&, std::shared_ptr<http_responder> responder)
        {
            const int before = disconnects;
            kept = std::move(responder);
            kept->on_disconnect([&] { ++disconnects; });
            CHECK(disconnects == before);
        });
    raw_peer peer(net.server->bound());
    peer.send(std::string(get_request) + get_request);
    peer.shut_down_sending();
    net.run_until([&] { return disconnects == 1; });

    // No events are due while the answer is awaited, so only the timer wakes the loop.
    constexpr unsigned ticks = 20;
    unsigned ticks_seen = 0;
    const unsigned iterations = ev_iteration(net.loop->raw());
    net.run_until([&] { return ++ticks_seen == ticks; });
    CHECK(ev_iteration(net.loop->raw()) - iterations <= 3 * ticks);

    kept->respond({200, {}, "first"});
    net.run_until([&] { return disconnects == 2; });
    kept->respond({200, {}, "all the same"});
    CHECK(net.read_to_end(peer).ends_with("all the same"));
}

TEST_CASE("many callers share the server")
{
    SECTION("pipelined requests are answered in their order")
    {
        loop_fixture net;
        raw_peer peer(net.server->bound());
        peer.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        const std::string got = net.read(peer, "/2");
        CHECK(got.find("Seen-Target: /1") < got.find("Seen-Target: /2"));
    }

    SECTION("connections over the limit are closed at once")
    {
        http_server_options options;
        options.max_connections = 2;
        loop_fixture net(camphorrock::testing::echo, options);
        raw_peer first(net.server->bound());
        raw_peer second(net.server->bound());
        raw_peer third(net.server->bound());
        CHECK(net.read_to_end(third).empty());
        second.send(get_request);
        CHECK(net.read(second, "\r\n\r\n").starts_with("HTTP/1.1 200"));
    }

    SECTION("callers that stall within a request do not delay others")
    {
        loop_fixture net;
        std::vector<std::unique_ptr<raw_peer>> stalled;
        for (int i = 0; i < 200; ++i)
        {
            stalled.push_back(std::make_unique<raw_peer>(net.server->bound()));
            stalled.back()->send(
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab");
        }
        CHECK(net.exchange({"GET", "/", {}, ""}).end == exchange_end::answered);
        CHECK(net.handler.received_requests.size() == 1);
    }
}

TEST_CASE("a server that is being destroyed passes no request to its handler")
{
    loop_fixture net;
    raw_peer peer(net.server->bound());
    peer.send(get_request);
    REQUIRE(net.read(peer, "\r\n\r\n").starts_with("HTTP/1.1 200"));
    REQUIRE(net.handler.received_requests.size() == 1);
    peer.send(get_request);
    net.server.reset();
    CHECK(net.handler.received_requests.size() == 1);
}

TEST_CASE("a server closes its idle connections")
{
    std::vector<std::shared_ptr<http_responder>> held;
    loop_fixture net(
        [&](const http_request& request, std::shared_ptr<http_responder> responder)
        {
            if (request.method == "POST")
            {
                held.push_back(std::move(responder));
                return;
            }
            responder->respond({});
        });
    raw_peer idle(net.server->bound());
    raw_peer busy(net.server->bound());
    idle.send(get_request);
    REQUIRE(net.read(idle, "\r\n\r\n").starts_with("HTTP/1.1 200"));
    busy.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    net.run_until([&] { return held.size() == 1; });

    SECTION("only those without a request, and the others are answered")
    {
        net.server->close_idle();
        net.run_until([&] { return net.server->connections() == 1; });
        held.front()->respond({});
        CHECK(net.read(busy, "\r\n\r\n").starts_with("HTTP/1.1 200"));
    }
    SECTION("a request that arrives at the same time is not handled")
    {
        idle.send(get_request);
        net.server->close_idle();
        net.run_until([&] { return net.server->connections() == 1; });
        CHECK(net.handler.received_requests.size() == 2);
    }
}
