#include "net/http_client.hpp"
#include "net/testing/raw_listener.hpp"
#include "net/testing/run_until.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

const std::string own = "Id: 2\r\n";
const std::string other = "Id: 1\r\n";

std::string answer(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\n" + id + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// A request whose own answer has the id 2, at a server of raw bytes.
struct reader_fixture
{
    explicit reader_fixture(bool shares_pool)
        : loop(event_loop::create().value()),
          http(http_client::create(*loop,
                                   {.resets_on_close = true, .shares_pool = shares_pool})
                   .value())
    {
    }

    exchange_id send(exchange_options options = {})
    {
        options.is_own_answer = [](const http_response& it)
        {
            return it.headers.find("Id") == "2";
        };
        got.reset();
        http_request request;
        request.method = "GET";
        request.target = "/a";
        const exchange_id id =
            http->send(server.bound(), request, options, [this](auto it) { got = it; });
        run_until(*loop,
                  [&]
                  {
                      connection = connection ? std::move(connection) : server.accept();
                      return connection &&
                             connection->read_some().find("/a") != std::string::npos;
                  });
        return id;
    }

    // Sends the answers one after the other, with a pause between.
    void reply(const std::vector<std::string>& pieces)
    {
        for (const std::string& it : pieces)
        {
            connection->send(it);
            wait(milliseconds(5));
        }
    }

    void wait(duration span)
    {
        bool is_over = false;
        const timer_handle timer = loop->after(span, [&] { is_over = true; });
        run_until(*loop, [&] { return is_over; });
    }

    exchange_result end()
    {
        run_until(*loop, [&] { return got.has_value(); });
        return *got;
    }

    std::unique_ptr<event_loop> loop;
    std::unique_ptr<http_client> http;
    raw_listener server;
    std::unique_ptr<raw_peer> connection;
    std::optional<exchange_result> got;
};

} // namespace

TEST_CASE("an exchange reads on after an answer that is not its own")
{
    reader_fixture it(GENERATE(true, false));

    SECTION("its own comes next")
    {
        it.send();
        it.reply({answer(other, "old"), answer(own, "new")});
        CHECK(it.end().end == exchange_end::answered);
        CHECK(it.end().answer.body == "new");
        CHECK(it.end().answer.status == 200);
        CHECK(it.end().answer.headers.find("Id") == "2");

        AND_THEN("the next exchange uses another connection")
        {
            it.connection.reset();
            it.send();
            it.reply({answer(own, "newer")});
            CHECK(it.end().answer.body == "newer");
            CHECK_FALSE(it.end().is_connection_reused);
        }
    }
    SECTION("its own comes in the same read as the other")
    {
        // libcurl drops it, so what follows must not be taken for it.
        it.send();
        it.reply({answer(other, "old") + answer(own, "new"), answer(own, "copy")});
        CHECK(it.end().end == exchange_end::answered);
        CHECK(it.end().answer.headers.find("Id") == "1");
    }
    SECTION("the first bytes of its own come in the same read as the other")
    {
        const std::string last = answer(own, "new");
        it.send();
        it.reply({answer(other, "old") + last.substr(0, 7), last.substr(7)});
        CHECK(it.end().answer.headers.find("Id") == "1");
    }
    SECTION("the other has no length, or no body")
    {
        const std::string begin = "HTTP/1.1 200 OK\r\n" + other;
        const std::string chunked =
            begin + "Transfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n";
        const std::string empty = begin + "Content-Length: 0\r\n\r\n";
        const int kind = GENERATE(0, 1, 2);
        const std::string first = kind == 0   ? chunked
                                  : kind == 1 ? chunked + answer(own, "new")
                                              : empty + answer(own, "new");
        it.send();
        it.reply({first, answer(own, "copy")});
        CHECK(it.end().answer.headers.find("Id") == "1");
    }
    SECTION("several others come first, one of them an interim answer, in pieces")
    {
        it.send();
        const std::string last = answer(own, "new");
        it.reply({answer(other, "old"),
                  answer(other, "older") + "HTTP/1.1 100 Continue\r\n\r\n",
                  last.substr(0, 25),
                  last.substr(25)});
        CHECK(it.end().answer.body == "new");
    }
    SECTION("its own comes in chunks, with trailers")
    {
        it.send();
        it.reply({answer(other, "old"),
                  "HTTP/1.1 200 OK\r\n" + own +
                      "Transfer-Encoding: chunked\r\n\r\n3\r\nnew\r\n0\r\nX: 1\r\n\r\n"});
        CHECK(it.end().answer.body == "new");
        CHECK_FALSE(it.end().answer.headers.find("X"));
    }
    SECTION("its own ends with the connection")
    {
        exchange_options options;
        options.allows_close_delimited = GENERATE(true, false);
        const bool is_allowed = options.allows_close_delimited;
        it.send(options);
        it.reply({answer(other, "old"), "HTTP/1.1 200 OK\r\n" + own + "\r\nnew"});
        it.connection->shut_down_sending();
        CHECK(it.end().end ==
              (is_allowed ? exchange_end::answered : exchange_end::connection_lost));
    }
    SECTION("the connection ends before its own, or within it")
    {
        const std::string part = GENERATE("",
                                          "HTTP/1.1 200",
                                          "HTTP/1.1 200 OK\r\nId: 2\r\n"
                                          "Content-Length: 5\r\n\r\nne");
        it.send();
        it.reply({answer(other, "old"), part});
        it.connection->shut_down_sending();
        CHECK(it.end().end == exchange_end::connection_lost);
    }
    SECTION("bytes that are no answer follow")
    {
        it.send();
        it.reply({answer(other, "old"), "what?\r\n\r\n"});
        CHECK(it.end().end == exchange_end::connection_lost);
    }
    SECTION("an answer without an end follows")
    {
        exchange_options options;
        options.max_answer_bytes = 1000;
        options.max_head_bytes = 1000;
        it.send(options);
        const bool is_head = GENERATE(true, false);
        const std::string begin = "HTTP/1.1 200 OK\r\n" + own;
        it.reply({answer(other, "old"),
                  begin + (is_head ? "X: " + std::string(2000, 'x')
                                   : "\r\n" + std::string(2000, 'x'))});
        CHECK(it.end().end == exchange_end::too_large);
    }
    SECTION("nothing follows until its time is over")
    {
        exchange_options options;
        options.timeout = milliseconds(60);
        it.send(options);
        it.reply({answer(other, "old")});
        CHECK(it.end().end == exchange_end::timed_out);
    }
    SECTION("it is cancelled meanwhile")
    {
        const exchange_id id = it.send();
        it.reply({answer(other, "old")});
        CHECK(it.http->cancel(id)); // it was sent
        it.reply({answer(own, "new")});
        CHECK_FALSE(it.got);
        run_until(*it.loop,
                  [&]
                  {
                      it.connection->read_some();
                      return it.connection->is_ended();
                  });
    }
}
