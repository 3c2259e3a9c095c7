#include "codec/server_answer.hpp"
#include "fakes/server/test_server.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

// Keeps what was answered; the test plays the caller's part.
struct kept_answer : http_responder
{
    void respond(http_response got) override
    {
        answer = std::move(got);
    }

    void start_stream(http_response) override {}

    void add_piece(std::string_view) override {}

    void end_stream() override {}

    void abort() override {}

    void on_disconnect(std::function<void()> what) override
    {
        gone = std::move(what);
    }

    bool is_not_run() const
    {
        return answer && answer->headers.find("Camphorrock-Outcome") == "not-run";
    }

    std::optional<http_response> answer;
    std::function<void()> gone;
};

class quiet_log : public event_log
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
        server = std::make_unique<test_server>(*loop, options, history, log);
    }

    // The answer to a call of ownership.METHOD for the whole key space.
    std::string call(const std::string& method, epoch since)
    {
        std::string now = std::to_string(
            std::chrono::ceil<milliseconds>(loop->now().time_since_epoch()).count() - 1);
        auto responder = std::make_shared<kept_answer>();
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

    std::shared_ptr<kept_answer> send(epoch since,
                                      const char* target = "/valves/quad-1?tag=t")
    {
        auto responder = std::make_shared<kept_answer>();
        http_request request{"GET", target, {}, ""};
        request.headers.add("Camphorrock-Epoch", std::to_string(since.value));
        server->handle(request, responder);
        return responder;
    }

    // Runs the loop until the condition holds.
    void run_until(std::function<bool()> holds)
    {
        timer_handle poll = loop->every(milliseconds(1),
                                        [&]
                                        {
                                            if (holds())
                                            {
                                                loop->stop();
                                            }
                                        });
        loop->run();
    }

    std::unique_ptr<event_loop> loop = event_loop::create().value();
    line_file history = line_file::open("").value();
    quiet_log log;
    std::unique_ptr<test_server> server;
};

} // namespace

TEST_CASE("a stand-in server runs only what its grants cover")
{
    GIVEN("a server without grants")
    {
        server_fixture a(microseconds(100), 1);

        THEN("a request is refused as not run")
        {
            CHECK(a.send(a.granted)->is_not_run());
            CHECK(a.send(a.granted)->answer->status == 409);
        }

        THEN("a target without a key is refused")
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

            THEN("a request of that epoch runs and gets its own answer")
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

            THEN("one of another epoch does not")
            {
                CHECK(a.send(epoch{2})->is_not_run());
                CHECK(a.send(epoch{4})->is_not_run());
            }

            THEN(
                "after a revocation none does, and the old epoch cannot be granted again")
            {
                a.call("revoke", a.granted);
                CHECK(a.send(a.granted)->is_not_run());
                CHECK(a.call("grant", a.granted).find("\"epoch\":0") !=
                      std::string::npos);
            }
        }
    }

    GIVEN("a server with one slot, one place in its queue and work without end")
    {
        server_fixture a(seconds(100000), 1);
        a.run_until(
            [&] {
                return a.call("grant", a.granted).find("\"epoch\":3") !=
                       std::string::npos;
            });
        auto running = a.send(a.granted);
        auto queued = a.send(a.granted);

        THEN("a third request is shed as not run")
        {
            CHECK(a.send(a.granted)->answer->status == 503);
            CHECK(a.server->slots().queued() == 1);
        }

        THEN("a queued request whose caller goes away never takes the slot")
        {
            queued->gone();
            CHECK(a.server->slots().queued() == 0);
            CHECK(a.server->slots().busy() == 1);
        }

        THEN("the grant is checked again before a queued request begins")
        {
            a.call("revoke", a.granted);
            running->gone();
            a.run_until([&] { return queued->answer.has_value(); });
            CHECK(queued->is_not_run());
            CHECK(a.server->slots().busy() == 0);
        }
    }
}
