#include "codec/server_answer.hpp"
#include "fakes/server/fake_server.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

// Records the answer. disconnect() simulates that the caller disconnects.
struct recording_responder : http_responder
{
    void respond(http_response got) override
    {
        answer = std::move(got);
    }

    void start_stream(http_response) override {}

    void add_piece(std::string_view) override {}

    void end_stream() override {}

    void abort() override {}

    void on_disconnect(std::function<void()> fn) override
    {
        disconnect = std::move(fn);
    }

    bool is_disconnected() const override
    {
        return false;
    }

    bool is_not_run() const
    {
        return answer && answer->headers.find("Camphorrock-Outcome") == "not-run";
    }

    std::optional<http_response> answer;
    std::function<void()> disconnect;
};

class null_log : public event_log
{
    void write(event_id, std::initializer_list<field>) override {}
};

struct server_fixture
{
    static constexpr epoch granted{3};

    explicit server_fixture(duration work, std::size_t max_queued)
    {
        server_options options;
        options.id = server_id("a");
        options.slots = 1;
        options.max_queued = max_queued;
        options.times.short_mean = work;
        server = std::make_unique<fake_server>(*loop, options, history, log);
    }

    // Calls ownership.METHOD for the whole key space and returns the answer.
    std::string call(const std::string& method, epoch since)
    {
        std::string now = std::to_string(
            std::chrono::ceil<milliseconds>(loop->now().time_since_epoch()).count() - 1);
        auto responder = std::make_shared<recording_responder>();
        server->handle(
            {"POST",
             "/rpc",
             {},
             R"({"jsonrpc":"2.0","id":1,"method":"ownership.)" + method +
                 R"(","params":{"shard":"valves","partition":)"
                 R"("0000000000000000-ffffffffffffffff","ttl_ms":800,"epoch":)" +
                 std::to_string(since.value) + R"(,"as_of_ms":)" + now + "}}"},
            responder);
        return responder->answer->body;
    }

    std::shared_ptr<recording_responder> send(epoch since,
                                              const char* target = "/valves/quad-1?tag=t")
    {
        auto responder = std::make_shared<recording_responder>();
        http_request request{"GET", target, {}, ""};
        request.headers.add("Camphorrock-Epoch", std::to_string(since.value));
        server->handle(request, responder);
        return responder;
    }

    // Runs the loop until the condition is met.
    void run_until(std::function<bool()> is_met)
    {
        timer_handle poll = loop->every(milliseconds(1),
                                        [&]
                                        {
                                            if (is_met())
                                            {
                                                loop->stop();
                                            }
                                        });
        loop->run();
    }

    std::unique_ptr<event_loop> loop = event_loop::create().value();
    line_file history = line_file::open("").value();
    null_log log;
    std::unique_ptr<fake_server> server;
};

} // namespace

TEST_CASE("a fake server runs only requests that its grants cover")
{
    GIVEN("a server without grants")
    {
        server_fixture a(microseconds(100), 1);

        THEN("a request is refused with 409 and not run")
        {
            CHECK(a.send(a.granted)->is_not_run());
            CHECK(a.send(a.granted)->answer->status == 409);
        }

        THEN("a target without a key is refused with 400")
        {
            CHECK(a.send(a.granted, "/valves")->answer->status == 400);
        }

        WHEN("the whole key space is granted")
        {
            a.run_until(
                [&] {
                    return a.call("grant", a.granted).find("\"epoch\":3") !=
                           std::string::npos;
                });

            THEN("a request of that epoch runs, and the answer is its own")
            {
                auto got = a.send(a.granted);
                a.run_until([&] { return got->answer.has_value(); });
                CHECK(got->answer->status == 200);
                std::optional<server_answer> body = read_server_answer(got->answer->body);
                REQUIRE(body);
                CHECK(body->key == "quad-1");
                CHECK(body->tag == "t");
                std::string text = got->answer->body;
                CHECK_FALSE(read_server_answer(text.replace(text.find("xx"), 1, "")));
            }

            THEN("a request of another epoch does not run")
            {
                CHECK(a.send(epoch{2})->is_not_run());
                CHECK(a.send(epoch{4})->is_not_run());
            }

            THEN("after a revocation no request runs, and the epoch cannot be granted "
                 "again")
            {
                a.call("revoke", a.granted);
                CHECK(a.send(a.granted)->is_not_run());
                CHECK(a.call("grant", a.granted).find("\"epoch\":0") !=
                      std::string::npos);
            }
        }
    }

    GIVEN("a server with one slot and a queue of one, whose runs do not end")
    {
        server_fixture a(seconds(100000), 1);
        a.run_until(
            [&] {
                return a.call("grant", a.granted).find("\"epoch\":3") !=
                       std::string::npos;
            });
        auto running = a.send(a.granted);
        auto queued = a.send(a.granted);

        THEN("a third request is refused with 503")
        {
            CHECK(a.send(a.granted)->answer->status == 503);
            CHECK(a.server->slots().queued() == 1);
        }

        THEN("a queued request whose caller disconnects leaves the queue and never runs")
        {
            queued->disconnect();
            CHECK(a.server->slots().queued() == 0);
            CHECK(a.server->slots().busy() == 1);
        }

        THEN("the grant is checked again before a queued request runs")
        {
            a.call("revoke", a.granted);
            running->disconnect();
            a.run_until([&] { return queued->answer.has_value(); });
            CHECK(queued->is_not_run());
            CHECK(a.server->slots().busy() == 0);
        }
    }
}
