#include "net/pipelined_server.hpp"
#include "net/testing/loop_fixture.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

// Holds each responder until the test answers.
struct pipelined_fixture
{
    explicit pipelined_fixture(seconds idle_timeout = seconds(60),
                               seconds request_timeout = seconds(60))
        : loop(event_loop::create().value()),
          handler(
              [this](const http_request&, std::shared_ptr<http_responder> responder)
              {
                  const std::size_t n = held.size();
                  responder->on_disconnect([this, n] { disconnected.push_back(n); });
                  held.push_back(std::move(responder));
              })
    {
        pipelined_server_options options;
        options.common.address = endpoint("127.0.0.1:0");
        options.max_pipelined = 3;
        options.common.idle_timeout = idle_timeout;
        options.request_timeout = request_timeout;
        server = create_pipelined_server(*loop, options, handler).value();
    }

    void run_until(const std::function<bool()>& is_met)
    {
        testing::run_until(*loop, is_met);
    }

    void answer(std::size_t n, const std::string& body)
    {
        http_response made;
        made.body = body;
        held[n]->respond(std::move(made));
    }

    std::string read(raw_peer& peer, const std::string& mark)
    {
        return read_until(*loop, peer, mark);
    }

    // Runs the loop for a while.
    void run_for(duration time)
    {
        testing::run_for(*loop, time);
    }

    std::string read_to_end(raw_peer& peer)
    {
        return testing::read_to_end(*loop, peer);
    }

    std::unique_ptr<event_loop> loop;
    std::vector<std::shared_ptr<http_responder>> held;
    std::vector<std::size_t> disconnected;
    scripted_handler handler;
    std::unique_ptr<http_server> server;
};

const std::string get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_CASE("requests of a connection reach the handler while earlier ones wait")
{
    pipelined_fixture it;
    raw_peer peer(it.server->bound());
    peer.send(get + get);
    it.run_until([&] { return it.held.size() == 2; });

    SECTION("they are answered in their order")
    {
        it.answer(1, "second");
        it.answer(0, "first");
        const std::string got = it.read(peer, "second");
        CHECK(got.find("first") < got.find("second"));
    }
    SECTION("requests beyond max_pipelined are handled after earlier answers")
    {
        peer.send(get + get + get);
        it.run_until([&] { return it.held.size() >= 3; });
        it.answer(0, "a");
        it.answer(1, "b");
        it.run_until([&] { return it.held.size() == 5; });
        CHECK(it.server->in_flight() == 3);
    }
    SECTION("an aborted answer closes the connection after the earlier answers")
    {
        it.held[1]->abort();
        it.answer(0, "first");
        const std::string got = it.read(peer, "nothing");
        CHECK(got.find("first") != std::string::npos);
        CHECK(peer.is_ended());
    }
    SECTION("on_disconnect is called for each request of a client that leaves")
    {
        peer.close();
        it.run_until([&] { return it.disconnected.size() == 2; });
        CHECK(it.server->connections() == 0);
        it.answer(0, "too late");
    }
}

// Guards against work that goes on for a client that has left, while its connection is
// not read because too many of its requests are unanswered (GONE).
TEST_CASE("the close of a connection that is not read is noticed")
{
    pipelined_fixture it;
    raw_peer peer(it.server->bound());
    peer.send(get + get + get);
    it.run_until([&] { return it.held.size() == 3; });
    bool is_over = false;
    const timer_handle limit = it.loop->after(seconds(2), [&] { is_over = true; });

    SECTION("with nothing unread")
    {
        peer.close();
    }
    SECTION("behind requests that are not read")
    {
        peer.send(get + get);
        peer.close();
    }
    it.run_until([&] { return is_over || it.disconnected.size() == 3; });
    CHECK(it.disconnected.size() == 3);
    CHECK(it.held.size() == 3);
}

TEST_CASE("a refused request is answered and closes the connection")
{
    pipelined_fixture it;
    raw_peer peer(it.server->bound());
    peer.send("GET / HTTP/1.1\r\nHost: x\nOne: 1\r\n\r\n");
    const std::string got = it.read(peer, "nothing");
    CHECK(got.starts_with("HTTP/1.1 400"));
    CHECK(got.find("Connection: close") != std::string::npos);
    CHECK(it.held.empty());
}

TEST_CASE("close_after_answers closes a connection after its last request")
{
    pipelined_fixture it;
    raw_peer peer(it.server->bound());
    peer.send(get + get);
    it.run_until([&] { return it.held.size() == 2; });
    it.server->close_after_answers();
    it.answer(0, "first");
    it.answer(1, "second");
    const std::string got = it.read(peer, "nothing");
    CHECK(got.find("Connection: close") > got.find("first"));
    CHECK(got.ends_with("second"));
}

// Guards against answers that are lost (LOST): a connection that is closed at once resets
// when its client sends further requests, and what was not delivered yet is discarded.
TEST_CASE("answers that are on their way survive the close of their connection")
{
    constexpr int small_window = 4096;
    constexpr std::size_t large_bytes = 200000; // more than the client's window
    constexpr seconds idle_timeout(1);
    pipelined_fixture it(idle_timeout);
    raw_peer peer(it.server->bound(), small_window);
    const std::string large = std::string(large_bytes, 'x') + "end of ";
    peer.send(get + get);
    it.run_until([&] { return it.held.size() == 2; });
    it.answer(0, large + "first");

    SECTION("after the last answer of a server that drains")
    {
        it.server->close_after_answers();
        it.answer(1, large + "second");
    }
    SECTION("after an answer that is aborted")
    {
        it.held[1]->abort();
        it.held[1].reset();
    }
    SECTION("after a request that is refused")
    {
        it.answer(1, large + "second");
        peer.send("GET / HTTP/1.1\r\nHost: x\nOne: 1\r\n\r\n");
    }
    SECTION("after close_idle")
    {
        it.answer(1, large + "second");
        it.run_until([&] { return it.server->in_flight() == 0; });
        it.server->close_idle();
    }
    SECTION("after the idle timeout")
    {
        it.answer(1, large + "second");
        it.run_for(idle_timeout + seconds(2));
    }
    it.run_until([&] { return it.server->in_flight() == 0; });
    peer.send(get + get);
    it.run_for(milliseconds(20));
    const std::string got = it.read_to_end(peer);
    CHECK(got.find("end of first") != std::string::npos);
    CHECK((it.held[1] == nullptr || got.find("end of second") != std::string::npos));
    CHECK(it.held.size() == 2);
}

// Guards against answers that are lost (LOST) behind a request that its client never
// completes.
TEST_CASE("a request that takes too long is refused after the earlier answers")
{
    constexpr seconds request_timeout(1);
    pipelined_fixture it(seconds(60), request_timeout);
    raw_peer peer(it.server->bound());
    peer.send(get + "GET / HTTP/1.1\r\n");
    it.run_until([&] { return it.held.size() == 1; });
    it.run_for(request_timeout + seconds(2));
    it.answer(0, "first");
    const std::string got = it.read_to_end(peer);
    CHECK(got.starts_with("HTTP/1.1 200"));
    CHECK(got.find("first") < got.find("HTTP/1.1 408"));
    CHECK(it.held.size() == 1);
}

// Guards against answers that are lost (LOST): the time of each request counted from the
// first byte of the first one, as long as each read ended within a request.
TEST_CASE("the time of a request counts from its own first byte")
{
    constexpr seconds request_timeout(1);
    constexpr int requests = 8; // all together take longer than the timeout
    pipelined_fixture it(seconds(60), request_timeout);
    raw_peer peer(it.server->bound());
    const std::string begin = "GET / HTTP/1.1\r\n";
    const std::string end = "Host: x\r\n\r\n";
    peer.send(begin);
    for (int n = 0; n < requests; ++n)
    {
        it.run_for(milliseconds(400));
        peer.send(end + begin);
        const auto arrived = static_cast<std::size_t>(n) + 1;
        it.run_until(
            [&] { return it.held.size() == arrived || it.server->connections() == 0; });
        REQUIRE(it.held.size() == arrived);
        it.answer(it.held.size() - 1, "answer");
    }
    CHECK(it.disconnected.empty());
    CHECK(it.server->connections() == 1);
}

TEST_CASE("close_idle keeps connections with requests")
{
    pipelined_fixture it;
    raw_peer idle(it.server->bound());
    raw_peer busy(it.server->bound());
    busy.send(get);
    it.run_until([&] { return it.held.size() == 1 && it.server->connections() == 2; });

    SECTION("their requests are answered")
    {
        it.server->close_idle();
        CHECK(it.server->connections() == 1);
        it.answer(0, "done");
        CHECK(it.read(busy, "done").ends_with("done"));
    }
    SECTION("a request that arrives at the same time is not handled")
    {
        idle.send(get);
        it.server->close_idle();
        it.answer(0, "done");
        it.read(busy, "done");
        CHECK(it.held.size() == 1);
    }
}

TEST_CASE("a request with Expect: 100-continue gets an interim answer")
{
    pipelined_fixture it;
    raw_peer peer(it.server->bound());
    peer.send("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
              "Content-Length: 2\r\n\r\n");
    CHECK(it.read(peer, "\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    peer.send("ab");
    it.run_until([&] { return it.held.size() == 1; });
    CHECK(it.handler.received_requests.front().body == "ab");
}

TEST_CASE("a streamed answer is sent in chunks")
{
    pipelined_fixture it;
    raw_peer peer(it.server->bound());
    peer.send(get);
    it.run_until([&] { return it.held.size() == 1; });
    it.held[0]->start_stream({});
    it.held[0]->add_piece("one");
    it.held[0]->add_piece("two");
    it.held[0]->end_stream();
    CHECK(it.read(peer, "0\r\n\r\n").find("3\r\none\r\n3\r\ntwo\r\n") !=
          std::string::npos);
}

TEST_CASE("the answer to HEAD has the length and no body")
{
    pipelined_fixture it;
    raw_peer peer(it.server->bound());
    peer.send("HEAD / HTTP/1.1\r\nHost: x\r\n\r\n");
    it.run_until([&] { return it.held.size() == 1; });
    http_response made;
    made.headers.add("Content-Length", "7");
    it.held[0]->respond(made);
    const std::string got = it.read(peer, "\r\n\r\n");
    CHECK(got.find("Content-Length: 7\r\n") != std::string::npos);
    CHECK(got.ends_with("\r\n\r\n"));
}
