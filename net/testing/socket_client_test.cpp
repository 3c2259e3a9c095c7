#include "net/socket_client.hpp"
#include "net/testing/raw_listener.hpp"
#include "net/testing/read_peer.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

const std::string own = "Id: 2\r\n";
const std::string other = "Id: 1\r\n";

std::string answer(const std::string& id, const std::string& body, int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " Any\r\n" + id +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A request whose own answer has the id 2, at a server of raw bytes.
struct answers_fixture
{
    explicit answers_fixture(bool resets_on_close = true)
        : loop(event_loop::create().value()),
          http(socket_client::create(*loop, {.resets_on_close = resets_on_close}).value())
    {
    }

    exchange_id start(exchange_options options = {},
                      http_request request = {"GET", "/a", {}, ""})
    {
        options.is_own_answer = [](const http_response& it)
        {
            return it.headers.find("Id") == "2";
        };
        got.reset();
        return http->send(server.bound(),
                          std::move(request),
                          std::move(options),
                          [this](exchange_result it) { got = std::move(it); });
    }

    // Also waits until the server has received the request.
    exchange_id send(const exchange_options& options = {})
    {
        const exchange_id id = start(options);
        run_until(*loop,
                  [&]
                  {
                      connection = connection ? std::move(connection) : server.accept();
                      return connection &&
                             connection->read_some().find("/a") != std::string::npos;
                  });
        return id;
    }

    // Sends the pieces one after the other, each after the last one was read.
    void reply(const std::vector<std::string>& pieces)
    {
        for (const std::string& it : pieces)
        {
            connection->send(it);
            run_for(*loop, milliseconds(2));
        }
    }

    exchange_result end()
    {
        run_until(*loop, [&] { return got.has_value(); });
        return *got;
    }

    // The next exchange, on whichever connection; true if it is another one.
    bool is_next_elsewhere()
    {
        const std::unique_ptr<raw_peer> first = std::move(connection);
        start();
        std::string at_first;
        run_until(*loop,
                  [&]
                  {
                      at_first += first->read_some();
                      connection = server.accept();
                      return connection || !at_first.empty();
                  });
        if (connection)
        {
            read_until(*loop, *connection, "\r\n\r\n");
        }
        raw_peer& used = connection ? *connection : *first;
        used.send(answer(own, "next"));
        CHECK(end().answer.body == "next");
        CHECK(got->is_connection_reused == (connection == nullptr));
        return connection != nullptr;
    }

    std::unique_ptr<event_loop> loop;
    std::unique_ptr<http_client> http;
    raw_listener server;
    std::unique_ptr<raw_peer> connection;
    std::optional<exchange_result> got;
};

} // namespace

// Guards against answers that are lost: a copy of an earlier refusal arrived in one read
// with the answer of another caller's request, which libcurl dropped (issue 41).
TEST_CASE("an exchange gets its own answer behind others, divided at every byte")
{
    const std::string text =
        answer(other, "old", GENERATE(200, 421, 503)) + answer(own, "new");
    for (std::size_t n = 0; n < text.size(); n += 3)
    {
        INFO("divided after " << n << " bytes");
        answers_fixture it;
        it.send();
        it.connection->send(text.substr(0, n));
        run_for(*it.loop, milliseconds(1));
        it.connection->send(text.substr(n));
        CHECK(it.end().end == exchange_end::answered);
        CHECK(it.end().answer.status == 200);
        CHECK(it.end().answer.body == "new");
    }
}

TEST_CASE("a connection on which an answer was skipped is not used again")
{
    answers_fixture it;
    it.send();
    it.reply({answer(other, "old"), answer(own, "new")});
    CHECK(it.end().answer.body == "new");
    CHECK(it.is_next_elsewhere());
}

TEST_CASE("a connection with bytes behind the own answer is not used again")
{
    answers_fixture it;
    it.send();
    const std::string copy = answer(own, "new");

    SECTION("in the same read")
    {
        const std::string behind =
            GENERATE_COPY(as<std::string>(), copy, copy.substr(0, 1), "\r\n");
        it.reply({copy + behind});
        CHECK(it.end().answer.body == "new");
        CHECK(it.is_next_elsewhere());
    }
    SECTION("later, while it is idle")
    {
        it.reply({copy, copy});
        CHECK(it.end().answer.body == "new");
        CHECK(it.is_next_elsewhere());
    }
    SECTION("later, unnoticed until the next request would be sent")
    {
        it.reply({copy});
        CHECK(it.end().answer.body == "new");
        it.connection->send(copy);
        it.start();
        std::unique_ptr<raw_peer> next;
        run_until(*it.loop, [&] { return (next = it.server.accept()) != nullptr; });
        CHECK(it.connection->read_some().empty());
        read_until(*it.loop, *next, "\r\n\r\n");
        next->send(answer(own, "next"));
        CHECK(it.end().answer.body == "next");
    }
    SECTION("without any, it is used again")
    {
        it.reply({copy});
        CHECK(it.end().answer.body == "new");
        CHECK_FALSE(it.is_next_elsewhere());
    }
}

TEST_CASE("a connection that its server does not keep is not used again")
{
    answers_fixture it;
    it.send();
    it.reply({GENERATE(as<std::string>(),
                       "HTTP/1.1 200 OK\r\nId: 2\r\nConnection: close\r\n"
                       "Content-Length: 0\r\n\r\n",
                       "HTTP/1.0 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n",
                       "HTTP/1.1 200 OK\r\nId: 2\r\nKeep-Alive: timeout=0\r\n"
                       "Content-Length: 0\r\n\r\n")});
    CHECK(it.end().end == exchange_end::answered);
    CHECK(it.is_next_elsewhere());
}

// Guards against a part of a body being taken for an answer: a late copy of the answer to
// a HEAD request states the length of a body that it doesn't have, so the copy was
// skipped with as many bytes of the next request's own answer.
TEST_CASE("a connection that carried a HEAD request is not used again")
{
    answers_fixture it;
    it.start({}, {"HEAD", "/a", {}, ""});
    run_until(*it.loop, [&] { return (it.connection = it.server.accept()) != nullptr; });
    read_until(*it.loop, *it.connection, "\r\n\r\n");
    it.reply({GENERATE(as<std::string>(),
                       "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\n",
                       "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n")});
    CHECK(it.end().end == exchange_end::answered);
    CHECK(it.is_next_elsewhere());
}

// Guards against requests that are lost: one that can't be repeated was sent on an idle
// connection in the moment in which its server closed it.
TEST_CASE("a connection is not used again shortly before its server closes it")
{
    answers_fixture it;
    it.send();

    SECTION("after half of the time that the server states, if it is short")
    {
        it.reply({"HTTP/1.1 200 OK\r\nId: 2\r\nKeep-Alive: timeout=1\r\n"
                  "Content-Length: 0\r\n\r\n"});
        CHECK(it.end().end == exchange_end::answered);
        run_for(*it.loop, milliseconds(500));
        CHECK(it.is_next_elsewhere());
    }
    SECTION("and it is used again long before")
    {
        it.reply({"HTTP/1.1 200 OK\r\nId: 2\r\nKeep-Alive: timeout=3600\r\n"
                  "Content-Length: 0\r\n\r\n"});
        CHECK(it.end().end == exchange_end::answered);
        CHECK_FALSE(it.is_next_elsewhere());
    }
}

TEST_CASE("after an answer that is not its own, an exchange ends")
{
    answers_fixture it;
    exchange_options options;

    SECTION("as lost, if the connection ends before its own, or within it")
    {
        it.send();
        it.reply({answer(other, "old"),
                  GENERATE(as<std::string>(),
                           "",
                           "HTTP/1.1 200",
                           "HTTP/1.1 200 OK\r\nId: 2\r\n"
                           "Content-Length: 5\r\n\r\nne")});
        it.connection->shut_down_sending();
        CHECK(it.end().end == exchange_end::connection_lost);
    }
    SECTION("as lost, if the other one has no end but that of the connection")
    {
        options.allows_close_delimited = GENERATE(true, false);
        it.send(options);
        it.reply({"HTTP/1.1 200 OK\r\n" + other + "\r\nold" + answer(own, "new")});
        it.connection->shut_down_sending();
        CHECK(it.end().end == exchange_end::connection_lost);
    }
    SECTION("with its own, which ends with the connection, if that is allowed")
    {
        options.allows_close_delimited = GENERATE(true, false);
        const bool is_allowed = options.allows_close_delimited;
        it.send(options);
        it.reply({answer(other, "old"), "HTTP/1.1 200 OK\r\n" + own + "\r\nnew"});
        it.connection->shut_down_sending();
        CHECK(it.end().end ==
              (is_allowed ? exchange_end::answered : exchange_end::connection_lost));
    }
    SECTION("as invalid, if bytes that are no answer follow")
    {
        it.send();
        it.reply({answer(other, "old"), "what?\r\n\r\n"});
        CHECK(it.end().end == exchange_end::invalid_answer);
        CHECK(it.got->fault == answer_fault::status_line);
    }
    SECTION("as too large, if an answer without an end follows")
    {
        options.max_answer_bytes = 1000;
        options.max_head_bytes = 1000;
        it.send(options);
        const std::string begin = "HTTP/1.1 200 OK\r\n" + own;
        it.reply({answer(other, "old"),
                  begin + GENERATE(as<std::string>(), "X: ", "\r\n") +
                      std::string(2000, 'x')});
        CHECK(it.end().end == exchange_end::too_large);
    }
    SECTION("as timed out, if nothing follows")
    {
        options.timeout = milliseconds(60);
        it.send(options);
        it.reply({answer(other, "old")});
        CHECK(it.end().end == exchange_end::timed_out);
    }
    SECTION("without a callback, if it is cancelled")
    {
        const exchange_id id = it.send();
        it.reply({answer(other, "old")});
        CHECK(it.http->cancel(id)); // it was sent
        it.reply({answer(own, "new")});
        CHECK_FALSE(it.got);
        read_to_end(*it.loop, *it.connection);
    }
}

TEST_CASE("an answer may come before the request's body is sent")
{
    answers_fixture it(false); // its server can read what was sent before the end
    constexpr std::size_t body_bytes = std::size_t{16} << 20;
    it.start({.timeout = seconds(60)}, {"POST", "/a", {}, std::string(body_bytes, 'x')});
    run_until(*it.loop, [&] { return (it.connection = it.server.accept()) != nullptr; });

    SECTION("of an error: the rest is not sent")
    {
        it.connection->send(answer(own, "new", 503));
        CHECK(it.end().answer.status == 503);
        const std::string received = read_to_end(*it.loop, *it.connection);
        CHECK(received.size() < body_bytes);
    }
    SECTION("of a success: the rest is sent first")
    {
        it.connection->send(answer(own, "new"));
        run_for(*it.loop, milliseconds(5));
        CHECK_FALSE(it.got);
        std::string received;
        run_until(*it.loop,
                  [&]
                  {
                      received += it.connection->read_some();
                      return it.got.has_value();
                  });
        CHECK(it.got->answer.body == "new");
        received += read_to_end(*it.loop, *it.connection); // it is not used again
        CHECK(received.size() > body_bytes);
    }
    SECTION("and then the end of the connection, with what was not read")
    {
        it.connection->send(answer(own, "new"));
        it.connection->shut_down_sending();
        CHECK(it.end().end == exchange_end::answered);
        CHECK(it.got->answer.body == "new");
    }
}

// Guards against an upload that a server runs with a part of its body: the connection was
// reset once the last byte was handed to the operating system, which then discarded what
// the server had not read.
TEST_CASE("a server that reads a request behind its success gets all of it")
{
    std::string body;
    while (body.size() < (std::size_t{8} << 20))
    {
        body += std::to_string(body.size());
    }
    constexpr int rounds = 12; // how much is unread at the answer's end differs
    for (int n = 0; n < rounds; ++n)
    {
        answers_fixture it(true);
        it.start({.timeout = seconds(60)}, {"POST", "/a", {}, body});
        run_until(*it.loop,
                  [&] { return (it.connection = it.server.accept()) != nullptr; });
        it.connection->send(answer(own, "new"));
        std::string received;
        run_until(*it.loop,
                  [&]
                  {
                      received += it.got ? "" : it.connection->read_some();
                      return it.got.has_value();
                  });
        CHECK(it.got->answer.body == "new");
        run_for(*it.loop, milliseconds(20)); // the connection has been closed
        received += read_to_end(*it.loop, *it.connection);
        CHECK(received.ends_with("\r\n\r\n" + body));
    }
}

// Guards against a part of an answer that reaches a caller as a whole one: a server
// answered an upload early, without a length, and reset the connection; the write of the
// upload took the system's error, and the read behind it saw an orderly end.
TEST_CASE("an answer without a length, while the body is being sent, is")
{
    answers_fixture it;
    constexpr std::size_t body_bytes = std::size_t{8} << 20;
    const std::size_t part_bytes =
        GENERATE(std::size_t{0}, std::size_t{1000}, std::size_t{200'000});
    const std::string part =
        "HTTP/1.1 200 OK\r\n" + own + "\r\n" + std::string(part_bytes, 'a');
    it.start({.timeout = seconds(60), .allows_close_delimited = true},
             {"POST", "/a", {}, std::string(body_bytes, 'x')});
    run_until(*it.loop, [&] { return (it.connection = it.server.accept()) != nullptr; });
    if (GENERATE(false, true))
    {
        it.connection->read_some();
    }
    it.connection->send(part);
    if (GENERATE(false, true))
    {
        run_for(*it.loop, milliseconds(2)); // the part is read before what follows
    }

    SECTION("lost if the connection is reset")
    {
        it.connection->reset();
        CHECK(it.end().end == exchange_end::connection_lost);
        CHECK(it.got->answer.body.empty());
    }
    SECTION("lost if the server closes the connection with a part of the body unread")
    {
        it.connection->close();
        CHECK(it.end().end == exchange_end::connection_lost);
    }
    SECTION("whole if the server ends its side in order")
    {
        it.connection->shut_down_sending();
        CHECK(it.end().end == exchange_end::answered);
        CHECK(it.got->answer.body.size() == part_bytes);
    }
    SECTION("lost if a reset comes behind the end, as of a server that has crashed")
    {
        it.connection->shut_down_sending();
        it.connection->reset();
        CHECK(it.end().end == exchange_end::connection_lost);
    }
    SECTION("whole if the server reads on behind the end")
    {
        it.connection->shut_down_sending();
        run_until(*it.loop,
                  [&]
                  {
                      it.connection->read_some();
                      return it.got.has_value();
                  });
        CHECK(it.got->end == exchange_end::answered);
        CHECK(it.got->answer.body.size() == part_bytes);
    }
}

TEST_CASE("a long body arrives unchanged, and a request that was cut off is cancelled")
{
    answers_fixture it;
    std::string body;
    for (std::size_t n = 0; body.size() < (std::size_t{4} << 20); ++n)
    {
        body += std::to_string(n);
    }
    const exchange_id id = it.start({.timeout = seconds(60)}, {"PUT", "/a", {}, body});
    run_until(*it.loop, [&] { return (it.connection = it.server.accept()) != nullptr; });

    SECTION("as the server reads it")
    {
        const std::string tail = body.substr(body.size() - 100);
        const std::string received = read_until(*it.loop, *it.connection, tail);
        it.connection->send(answer(own, "new"));
        CHECK(it.end().answer.body == "new");
        CHECK(received.ends_with("\r\n\r\n" + body));
        CHECK_FALSE(it.is_next_elsewhere());
    }
    SECTION("while the server reads nothing")
    {
        CHECK(it.http->cancel(id));
    }
}

TEST_CASE("bytes without a line end take no more memory than a head may have")
{
    answers_fixture it;
    exchange_options options;
    options.timeout = seconds(60);
    it.send(options);
    const std::string piece(std::size_t{64} * 1024, 'x');
    it.connection->send("HTTP/1.1 200 ");
    std::size_t sent = 0;
    run_until(*it.loop,
              [&]
              {
                  sent += piece.size();
                  it.connection->send(piece);
                  return it.got.has_value();
              });
    CHECK(it.got->end == exchange_end::too_large);
    CHECK(sent < (std::size_t{10} << 20));
}

TEST_CASE("at the limit of open connections, an exchange that needs a new one fails")
{
    answers_fixture it;
    it.http->limit_connections(it.server.bound(), connection_limit{1, 1});
    it.send();
    it.http->drop_connections(it.server.bound());
    std::optional<exchange_end> second;
    it.http->send(it.server.bound(),
                  {"GET", "/b", {}, ""},
                  {},
                  [&](const exchange_result& result) { second = result.end; });
    run_until(*it.loop, [&] { return second.has_value(); });
    CHECK(second == exchange_end::not_connected);
    it.reply({answer(own, "new")});
    CHECK(it.end().answer.body == "new");
}
