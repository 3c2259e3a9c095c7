#include "net/testing/full_listener.hpp"
#include "net/testing/loop_fixture.hpp"
#include "net/testing/raw_listener.hpp"
#include "testing/test_headers.hpp"

#include <thread>

using namespace camphorrock;
using camphorrock::testing::client_kind;
using camphorrock::testing::loop_fixture;
using camphorrock::testing::raw_listener;
using camphorrock::testing::raw_peer;

namespace
{

const std::string whole_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A client, and a server whose answers the test writes as raw bytes.
struct client_fixture : loop_fixture
{
    explicit client_fixture(client_kind kind, const http_client_options& options = {})
        : loop_fixture(camphorrock::testing::echo, {}, options, kind)
    {
    }

    exchange_id start(http_request request, exchange_options options = {})
    {
        return client->send(listener.bound(),
                            std::move(request),
                            options,
                            [this](exchange_result it)
                            { ended.push_back(std::move(it)); });
    }

    // The next connection, once the client has opened it.
    std::unique_ptr<raw_peer> accept()
    {
        std::unique_ptr<raw_peer> made;
        run_until([&] { return (made = listener.accept()) != nullptr; });
        return made;
    }

    exchange_result wait()
    {
        run_until([&] { return !ended.empty(); });
        exchange_result got = std::move(ended.front());
        ended.erase(ended.begin());
        return got;
    }

    raw_listener listener;
    std::vector<exchange_result> ended;
};

exchange_options within(milliseconds time)
{
    exchange_options made;
    made.timeout = time;
    return made;
}

} // namespace

TEST_CASE("an exchange that sent no byte reports that nothing was sent")
{
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind);

    SECTION("nothing listens, or the host is not an IP address")
    {
        const endpoint to = GENERATE(endpoint("127.0.0.1:1"), endpoint("localhost:80"));
        net.client->send(to,
                         {"GET", "/", {}, ""},
                         {},
                         [&](exchange_result it) { net.ended.push_back(it); });
        CHECK(net.ended.empty());
        CHECK(net.wait().end == exchange_end::not_connected);
    }

    SECTION("the request has a line break in a header or its target")
    {
        http_request request{"GET", "/", {}, ""};
        request.headers.add("A", "b\r\nC: d");
        net.start(request);
        net.start({"GET", "/ HTTP/1.1\r\nA: b\r\n\r\n", {}, ""});
        CHECK(net.wait().end == exchange_end::not_connected);
        CHECK(net.wait().end == exchange_end::not_connected);
        CHECK(net.listener.accept() == nullptr);
    }

    SECTION("the timeout expires while it waits for a connection")
    {
        client_fixture one(kind, {.max_connections_per_endpoint = 1});
        one.start({"GET", "/first", {}, ""}, within(milliseconds(5000)));
        std::unique_ptr<raw_peer> peer = one.accept();
        one.start({"GET", "/second", {}, ""}, within(milliseconds(20)));
        CHECK(one.wait().end == exchange_end::timed_out_before_send);

        AND_WHEN("the first exchange ends")
        {
            peer->send(whole_answer);

            THEN("the second is not sent after its callback")
            {
                CHECK(one.wait().end == exchange_end::answered);
                CHECK(one.read(*peer, "first").find("second") == std::string::npos);
            }
        }
    }
}

// Guards against a late loop that sends what its caller has given up, or whose permission
// has ended: the timer that ends the exchange is due, but has not run yet (GONE).
TEST_CASE("an exchange whose time is over when the loop gets to it is not sent")
{
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind);
    net.start({"GET", "/first", {}, ""});
    const std::unique_ptr<raw_peer> peer = net.accept();
    net.read(*peer, "\r\n\r\n");
    peer->send(whole_answer);
    REQUIRE(net.wait().end == exchange_end::answered);

    net.start({"GET", "/second", {}, ""}, within(milliseconds(20)));
    std::this_thread::sleep_for(milliseconds(40));
    CHECK(net.wait().end == exchange_end::timed_out_before_send);
    CHECK(peer->read_some().empty());
}

TEST_CASE("an exchange that is no longer wanted when it would be sent is withdrawn")
{
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind);
    bool is_wanted = true;
    exchange_options options;
    options.is_wanted = [&]
    {
        return is_wanted;
    };

    SECTION("on a new connection")
    {
        net.start({"GET", "/", {}, ""}, options);
        is_wanted = false;
        CHECK(net.wait().end == exchange_end::withdrawn);
    }
    SECTION("after it waited for the connection of another one")
    {
        client_fixture one(kind, {.max_connections_per_endpoint = 1});
        one.start({"GET", "/first", {}, ""});
        const std::unique_ptr<raw_peer> peer = one.accept();
        one.read(*peer, "\r\n\r\n");
        one.start({"GET", "/second", {}, ""}, options);
        is_wanted = false;
        peer->send(whole_answer);
        CHECK(one.wait().end == exchange_end::answered);
        CHECK(one.wait().end == exchange_end::withdrawn);
        CHECK(peer->read_some().empty());
    }
    SECTION("one that is still wanted is sent")
    {
        net.start({"GET", "/", {}, ""}, options);
        const std::unique_ptr<raw_peer> peer = net.accept();
        peer->send(whole_answer);
        CHECK(net.wait().end == exchange_end::answered);
    }
}

TEST_CASE("an incomplete answer is never reported as answered")
{
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind);
    net.start({"GET", "/", {}, ""});
    std::unique_ptr<raw_peer> peer = net.accept();
    net.read(*peer, "\r\n\r\n");

    SECTION("the connection breaks before or within the answer")
    {
        const std::string part =
            GENERATE(as<std::string>(),
                     "",
                     "HTTP/1.1 200 OK\r\nContent-Len",
                     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                     "HTTP/1.1 200 OK\r\n\r\nnobody knows whether this is all",
                     "HTTP/1.1 100 Continue\r\n\r\n");
        INFO(part);
        peer->send(part);
        if (GENERATE(true, false))
        {
            peer->close();
        }
        else
        {
            peer->reset();
        }
        CHECK(net.wait().end == exchange_end::connection_lost);
    }

    SECTION("its bytes are no answer, or one on which readers could differ")
    {
        const std::string head =
            GENERATE(as<std::string>(),
                     "something else\r\n",
                     "HTTP/1.1 000 OK\r\n",
                     "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
                     "HTTP/1.1 200 OK\r\nX\x01: 1\r\n",
                     "HTTP/1.1 200 OK\r\nX: 1\r\n folded\r\n",
                     "HTTP/1.1 200 OK\r\nX: 1\n",
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
                     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n");
        INFO(head);
        peer->send(head + "Content-Length: 2\r\n\r\nok");
        peer->close();
        const exchange_result got = net.wait();
        CHECK(
            (got.end == exchange_end::invalid_answer ||
             (got.end == exchange_end::connection_lost && kind == client_kind::libcurl)));
        CHECK(got.answer.body.empty());
    }

    SECTION("interim answers, trailers and answers without a body are complete")
    {
        const std::string answer =
            GENERATE(as<std::string>(),
                     "HTTP/1.1 100 Continue\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nB: "
                     "2\r\nContent-Length: 0\r\n\r\n",
                     "HTTP/1.1 200 OK\r\nB: 2\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n0\r\nA: 1\r\n\r\n",
                     "HTTP/1.1 204 No Content\r\nB:  2 \r\n\r\n");
        INFO(answer);
        peer->send(answer);
        const exchange_result got = net.wait();
        CHECK(got.end == exchange_end::answered);
        CHECK(got.answer.headers.find("b") == "2");
        CHECK_FALSE(got.answer.headers.find("A"));
    }
}

TEST_CASE("every truncated answer is detected")
{
    struct row
    {
        std::string answer;
        std::size_t needed; // length of the shortest whole prefix
    };
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    // libcurl takes the answer for whole without the last byte of its last line break.
    const std::size_t chunked_size = kind == client_kind::libcurl ? 58 : 59;
    const row it = GENERATE_COPY(
        row{whole_answer, whole_answer.size()},
        row{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            chunked_size});
    client_fixture net(kind);
    for (std::size_t n = 0; n <= it.answer.size(); ++n)
    {
        const bool is_whole = n >= it.needed;
        net.start({"GET", "/", {}, ""});
        std::unique_ptr<raw_peer> peer = net.accept();
        peer->send(it.answer.substr(0, n));
        net.read(*peer, "\r\n\r\n");
        peer->close();
        const exchange_result got = net.wait();
        INFO(it.answer.substr(0, n));
        CHECK(got.end ==
              (is_whole ? exchange_end::answered : exchange_end::connection_lost));
        CHECK(got.answer.body == (is_whole ? "ok" : ""));
    }
}

TEST_CASE("an answer larger than max_answer_bytes ends the exchange as too_large")
{
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind);
    exchange_options options;
    options.max_answer_bytes = 1000;
    net.start({"GET", "/", {}, ""}, options);
    std::unique_ptr<raw_peer> peer = net.accept();
    peer->send(GENERATE(as<std::string>(),
                        "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" +
                            std::string(2000, 'x'),
                        "HTTP/1.1 200 OK\r\nA: " + std::string(2000, 'x') + "\r\n\r\n"));
    const exchange_result got = net.wait();
    CHECK(got.end == exchange_end::too_large);
    CHECK(got.answer_bytes >= 2000);
    net.read_to_end(*peer);
}

TEST_CASE("a head that states more than max_answer_bytes ends the exchange at once")
{
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind);
    exchange_options options;
    options.max_answer_bytes = 1000;

    SECTION("if a body is due")
    {
        net.start({"GET", "/", {}, ""}, options);
        std::unique_ptr<raw_peer> peer = net.accept();
        peer->send("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n");
        const exchange_result got = net.wait();
        CHECK(got.end == exchange_end::too_large);
        CHECK(got.answer_bytes >= 2000);
        CHECK(got.answer_bytes < 2100);
        net.read_to_end(*peer);
    }
    SECTION("but not behind a HEAD request")
    {
        net.start({"HEAD", "/", {}, ""}, options);
        std::unique_ptr<raw_peer> peer = net.accept();
        peer->send("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n");
        CHECK(net.wait().end == exchange_end::answered);
    }
}

TEST_CASE("a request is sent at most once")
{
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind);
    net.start({"GET", "/first", {}, ""});
    std::unique_ptr<raw_peer> peer = net.accept();
    peer->send(whole_answer);
    REQUIRE(net.wait().end == exchange_end::answered);
    net.read(*peer, "\r\n\r\n");

    SECTION("a kept connection that breaks after the request was sent ends it as lost")
    {
        const std::string method = GENERATE("GET", "POST", "DELETE");
        const std::string body = GENERATE(as<std::string>(), "", "once");
        net.start({method, "/second", {}, body});
        CHECK(net.read(*peer, "/second").find(method) == 0);
        if (GENERATE(true, false))
        {
            peer->reset();
        }
        else
        {
            peer->close();
        }
        const exchange_result got = net.wait();
        CHECK(got.end == exchange_end::connection_lost);
        CHECK(got.is_connection_reused);
        CHECK(net.listener.accept() == nullptr);
    }

    SECTION("a kept connection that broke before the request is replaced")
    {
        peer->close();
        net.start({"POST", "/second", {}, "once"});
        peer = net.accept();
        peer->send(whole_answer);
        CHECK(net.wait().end == exchange_end::answered);
        const std::string got = net.read(*peer, "once");
        CHECK(got.find("once") == got.rfind("once"));
    }
}

TEST_CASE("a late answer is never taken for that to another request")
{
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind);

    SECTION("a timed-out exchange closes its connection")
    {
        net.start({"GET", "/", {}, ""}, within(milliseconds(20)));
        std::unique_ptr<raw_peer> peer = net.accept();
        CHECK(net.wait().end == exchange_end::timed_out);
        net.read_to_end(*peer);
        CHECK(peer->is_ended());
    }

    SECTION("a cancelled exchange closes its connection and has no callback")
    {
        const exchange_id id = net.start({"GET", "/", {}, ""});
        std::unique_ptr<raw_peer> peer = net.accept();
        net.read(*peer, "\r\n\r\n");
        net.client->cancel(id);
        net.client->cancel(id);
        net.read_to_end(*peer);
        CHECK(net.ended.empty());
    }
}

TEST_CASE("each exchange gets its own answer, in any order of the answers")
{
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    rc::prop(
        "random answers, delays, timeouts and cancellations",
        [kind]
        {
            std::vector<std::pair<std::string, std::shared_ptr<http_responder>>> open;
            loop_fixture net(
                [&](const http_request& it, std::shared_ptr<http_responder> responder)
                { open.emplace_back(it.target, std::move(responder)); },
                {},
                {.max_connections_per_endpoint = 4,
                 .shares_pool = *rc::gen::arbitrary<bool>()},
                kind);
            std::map<std::string, exchange_id> waiting;
            for (int i = 0; i < 30; ++i)
            {
                const std::string target = "/" + std::to_string(i);
                const auto limit = milliseconds(*rc::gen::element(1, 5, 100000));
                waiting[target] =
                    net.client->send(net.server->bound(),
                                     {"GET", target, {}, ""},
                                     within(limit),
                                     [&waiting, target](const exchange_result& got)
                                     {
                                         RC_ASSERT(waiting.erase(target) == 1);
                                         RC_ASSERT(got.end != exchange_end::answered ||
                                                   got.answer.body == target);
                                     });
                net.run_until([] { return true; });
                if (*rc::gen::inRange(0, 8) == 0 && !waiting.empty())
                {
                    net.client->cancel(waiting.begin()->second);
                    waiting.erase(waiting.begin());
                }
                while (!open.empty() && *rc::gen::arbitrary<bool>())
                {
                    const auto at = *rc::gen::inRange<std::size_t>(0, open.size());
                    open[at].second->respond({200, {}, open[at].first});
                    open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
                }
            }
            net.run_until(
                [&]
                {
                    for (const auto& [target, responder] : open)
                    {
                        responder->respond({200, {}, target});
                    }
                    open.clear();
                    return waiting.empty();
                });
        });
}

TEST_CASE("a fresh connection is opened even if the pool is full")
{
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind, {.max_connections_per_endpoint = 1});
    net.start({"GET", "/first", {}, ""});
    std::unique_ptr<raw_peer> first = net.accept();
    first->send(whole_answer);
    CHECK(net.wait().end == exchange_end::answered);
    exchange_options options;
    options.connection = connection_choice::fresh;
    net.start({"GET", "/second", {}, ""}, options);
    std::unique_ptr<raw_peer> second = net.accept();
    second->send(whole_answer);
    CHECK(net.wait().end == exchange_end::answered);
    net.read_to_end(*first);
}

TEST_CASE("dropped connections carry no further exchange and close when idle")
{
    const bool shares_pool = GENERATE(false, true);
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind, {.shares_pool = shares_pool});
    net.start({"GET", "/first", {}, ""});
    std::unique_ptr<raw_peer> idle = net.accept();
    net.start({"GET", "/second", {}, ""});
    std::unique_ptr<raw_peer> busy = net.accept();
    idle->send(whole_answer);
    CHECK(net.wait().end == exchange_end::answered);

    net.client->drop_connections(net.listener.bound());
    net.start({"GET", "/third", {}, ""});
    std::unique_ptr<raw_peer> fresh = net.accept();
    CHECK(net.read(*fresh, "\r\n\r\n").find("/third") != std::string::npos);

    busy->send(whole_answer);
    CHECK(net.wait().end == exchange_end::answered);
    net.read_to_end(*busy);
    net.read_to_end(*idle);
    fresh->send(whole_answer);
    CHECK(net.wait().end == exchange_end::answered);
}

TEST_CASE("a stream is delivered as it arrives")
{
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind);
    std::string got;
    exchange_id id;
    auto on_piece = [&](std::string_view piece)
    {
        got += piece;
        if (got == "one two stop")
        {
            net.client->cancel(id);
        }
    };
    id = net.client->stream(net.listener.bound(),
                            {"GET", "/", {}, ""},
                            {},
                            on_piece,
                            [&](exchange_result it) { net.ended.push_back(it); });
    std::unique_ptr<raw_peer> peer = net.accept();
    peer->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\none \r\n");
    net.run_until([&] { return got == "one "; });
    peer->send("4\r\ntwo \r\n");
    net.run_until([&] { return got == "one two "; });

    SECTION("until it ends")
    {
        peer->send("0\r\n\r\n");
        CHECK(net.wait().end == exchange_end::answered);
    }

    SECTION("until the connection breaks")
    {
        peer->close();
        CHECK(net.wait().end == exchange_end::connection_lost);
    }

    SECTION("until it is cancelled within its callback")
    {
        peer->send("4\r\nstop\r\n");
        net.read_to_end(*peer);
        CHECK(net.ended.empty());
    }
}

TEST_CASE("in a shared pool, an endpoint at its limit does not delay others")
{
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind, {.max_connections_per_endpoint = 1, .shares_pool = true});
    raw_listener other;
    auto send_to_other = [&]
    {
        net.client->send(other.bound(),
                         {"GET", "/other", {}, ""},
                         {},
                         [&](exchange_result it) { net.ended.push_back(std::move(it)); });
        std::unique_ptr<raw_peer> made;
        net.run_until([&] { return (made = other.accept()) != nullptr; });
        return made;
    };
    net.start({"GET", "/first", {}, ""});
    std::unique_ptr<raw_peer> first = net.accept();
    net.start({"GET", "/second", {}, ""});
    std::unique_ptr<raw_peer> elsewhere = send_to_other();
    elsewhere->send(whole_answer);
    CHECK(net.wait().end == exchange_end::answered);

    SECTION("a waiting exchange uses the connection once that is free")
    {
        first->send(whole_answer);
        CHECK(net.wait().end == exchange_end::answered);
        CHECK(net.read(*first, "/second HTTP/1.1\r\n").find("/second") !=
              std::string::npos);
        first->send(whole_answer);
        CHECK(net.wait().is_connection_reused);
    }
    SECTION("a waiting exchange starts at once if the connection is lost")
    {
        first->close();
        CHECK(net.wait().end == exchange_end::connection_lost);
        CHECK(net.read(*net.accept(), "\r\n\r\n").find("/second") != std::string::npos);
    }
    SECTION("dropping one endpoint keeps the connections of the others")
    {
        net.client->drop_connections(net.listener.bound());
        net.client->send(other.bound(),
                         {"GET", "/again", {}, ""},
                         {},
                         [&](exchange_result it) { net.ended.push_back(std::move(it)); });
        CHECK(net.read(*elsewhere, "/again HTTP/1.1\r\n").find("/again") !=
              std::string::npos);
        elsewhere->send(whole_answer);
        CHECK(net.wait().is_connection_reused);
    }
}

TEST_CASE("a cancelled exchange tells whether its request may have been sent")
{
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind);
    auto ignore = [](const exchange_result&) {
    };

    SECTION("not while its connection is being opened")
    {
        const testing::full_listener full;
        const exchange_id id =
            net.client->send(full.bound, {"GET", "/", {}, ""}, {}, ignore);
        const time_point end = net.loop->now() + milliseconds(30);
        net.run_until([&] { return net.loop->now() >= end; });
        CHECK_FALSE(net.client->cancel(id));
    }
    SECTION("not if it could not start")
    {
        CHECK_FALSE(net.client->cancel(net.start({"GET", "/ /", {}, ""})));
    }
    SECTION("as soon as the server has it")
    {
        const exchange_id id = net.start({"GET", "/", {}, ""});
        const std::unique_ptr<raw_peer> peer = net.accept();
        net.read(*peer, "GET /");
        CHECK(net.client->cancel(id));
    }
}

TEST_CASE("an answer without an end is cut off, in its head and in its body")
{
    const bool shares_pool = GENERATE(false, true);
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind, {.shares_pool = shares_pool});
    exchange_options options;
    options.timeout = seconds(30);
    options.max_head_bytes = 20000;
    options.max_answer_bytes = 200000;
    net.start({"GET", "/", {}, ""}, options);
    const std::unique_ptr<raw_peer> peer = net.accept();
    net.read(*peer, "GET /");
    std::string piece;
    std::size_t limit = options.max_answer_bytes;
    SECTION("header lines")
    {
        peer->send("HTTP/1.1 200 OK\r\n");
        piece = "X-More: " + std::string(100, 'x') + "\r\n";
        limit = options.max_head_bytes;
    }
    SECTION("one header line")
    {
        peer->send("HTTP/1.1 200 OK\r\nX-Long: ");
        piece = std::string(100, 'x');
    }
    SECTION("interim answers")
    {
        piece = "HTTP/1.1 100 Continue\r\n\r\n";
        limit = options.max_head_bytes;
    }
    SECTION("a body that ends with the connection")
    {
        peer->send("HTTP/1.1 200 OK\r\n\r\n");
        piece = std::string(100, 'x');
    }
    SECTION("a chunked body")
    {
        peer->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        piece = "64\r\n" + std::string(100, 'x') + "\r\n";
    }
    SECTION("trailers")
    {
        peer->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
        piece = "X-More: " + std::string(100, 'x') + "\r\n";
    }
    std::size_t sent = 0;
    const timer_handle sender = net.loop->every(milliseconds(1),
                                                [&]
                                                {
                                                    for (int n = 0; n < 100; ++n)
                                                    {
                                                        sent += piece.size();
                                                        peer->send(piece);
                                                    }
                                                });
    net.run_until([&] { return !net.ended.empty(); });
    CHECK(net.ended.front().end != exchange_end::answered);
    CHECK(net.ended.front().answer.body.empty());
    // What the sockets hold comes on top.
    constexpr std::size_t socket_bytes = std::size_t{8} << 20;
    CHECK(sent < limit + socket_bytes);
}

TEST_CASE("a connection that could not be opened leaves nothing behind")
{
    const bool shares_pool = GENERATE(false, true);
    const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
    client_fixture net(kind, {.shares_pool = shares_pool});
    const testing::full_listener full;
    const endpoint unreachable =
        GENERATE(true, false) ? full.bound : endpoint("127.0.0.1:1");
    auto send_to_unreachable = [&]
    {
        exchange_options options;
        options.connect_timeout = milliseconds(20);
        net.client->send(unreachable,
                         {"GET", "/", {}, ""},
                         options,
                         [&](exchange_result it) { net.ended.push_back(std::move(it)); });
    };
    send_to_unreachable();
    send_to_unreachable();
    CHECK(net.wait().end == exchange_end::not_connected);
    CHECK(net.wait().end == exchange_end::not_connected);

    SECTION("a file that reuses its descriptor stays open when the endpoint is dropped")
    {
        int pair[2] = {-1, -1};
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair) == 0);
        net.client->drop_connections(unreachable);
        CHECK(send(pair[0], "x", 1, MSG_NOSIGNAL) == 1);
        CHECK(send(pair[1], "x", 1, MSG_NOSIGNAL) == 1);
        ::close(pair[0]);
        ::close(pair[1]);
    }
    SECTION("it does not count against the endpoint's limit")
    {
        net.client->limit_connections(unreachable, connection_limit{2, 2});
        for (int n = 0; n < 4; ++n)
        {
            send_to_unreachable();
            const exchange_result got = net.wait();
            CHECK(got.is_connection_refused == (unreachable != full.bound));
            CHECK((got.is_connection_refused || got.time_taken > milliseconds(10)));
        }
    }
}
