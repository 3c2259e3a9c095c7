#include "net/memory_budget.hpp"
#include "net/pipelined_server.hpp"
#include "net/testing/loop_fixture.hpp"
#include "net/testing/raw_listener.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

constexpr std::size_t limit_bytes = std::size_t{4} << 20;
constexpr std::size_t large_bytes = std::size_t{1} << 20;

// A server that answers each request with a head and a body without end.
class endless_server
{
public:
    explicit endless_server(event_loop& loop)
    {
        feed_timer_ = loop.every(milliseconds(1), [this] { feed(); });
    }

    endpoint bound() const
    {
        return listener_.bound();
    }

    std::size_t body_bytes = 0; // of each answer, sent at once; 0: without end

private:
    void feed()
    {
        if (auto accepted = listener_.accept())
        {
            connection_ = std::move(accepted);
        }
        if (connection_ == nullptr)
        {
            return;
        }
        const bool is_asked = !connection_->read_some().empty();
        if (is_asked && body_bytes > 0)
        {
            connection_->send(
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_bytes) +
                "\r\n\r\n" + std::string(body_bytes, 'x'));
            return;
        }
        if (is_asked)
        {
            connection_->send("HTTP/1.1 200 OK\r\n\r\n");
            is_feeding_ = true;
        }
        if (is_feeding_)
        {
            connection_->send(std::string(piece_bytes, 'x'));
        }
    }

    static constexpr std::size_t piece_bytes = std::size_t{64} * 1024;

    raw_listener listener_;
    std::unique_ptr<raw_peer> connection_;
    timer_handle feed_timer_;
    bool is_feeding_ = false;
};

// A pipelined server with a budget, whose answers the test gives.
struct budget_fixture
{
    budget_fixture()
        : loop(event_loop::create().value()),
          budget(memory_budget::create(*loop, limit_bytes)),
          handler([this](const http_request&, std::shared_ptr<http_responder> responder)
                  { held.push_back(std::move(responder)); })
    {
        pipelined_server_options options;
        options.common.address = endpoint("127.0.0.1:0");
        options.common.max_body_bytes = limit_bytes;
        options.memory = budget;
        server = create_pipelined_server(*loop, options, handler).value();
    }

    void run_until(const std::function<bool()>& is_met)
    {
        testing::run_until(*loop, is_met);
    }

    std::string read(raw_peer& peer, const std::string& mark)
    {
        return read_until(*loop, peer, mark);
    }

    static std::string head_of_post(std::size_t body_bytes)
    {
        return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
               std::to_string(body_bytes) + "\r\n\r\n";
    }

    std::unique_ptr<event_loop> loop;
    std::shared_ptr<memory_budget> budget;
    std::vector<std::shared_ptr<http_responder>> held;
    scripted_handler handler;
    std::unique_ptr<http_server> server;
};

} // namespace

TEST_CASE("a budget counts its claims and gives up the largest ones over its limit")
{
    const std::unique_ptr<event_loop> loop = event_loop::create().value();
    const auto budget = memory_budget::create(*loop, limit_bytes);
    std::vector<std::string> evicted;
    memory_claim small(budget, [&] { evicted.push_back("small"); });
    memory_claim kept(budget);
    auto large =
        std::make_unique<memory_claim>(budget, [&] { evicted.push_back("large"); });
    std::unique_ptr<memory_claim> larger;
    larger = std::make_unique<memory_claim>(budget,
                                            [&]
                                            {
                                                evicted.push_back("larger");
                                                larger.reset();
                                            });
    kept.add(limit_bytes / 2);
    small.add(1000);
    large->add(limit_bytes / 4);

    SECTION("what is refused counts nothing")
    {
        CHECK_FALSE(kept.try_add(limit_bytes / 4));
        CHECK(kept.try_add(limit_bytes / 4 - 1000));
        CHECK(budget->used_bytes() == limit_bytes);
    }
    SECTION("a claim that is gone is given back")
    {
        large.reset();
        CHECK(budget->used_bytes() == limit_bytes / 2 + 1000);
    }
    SECTION("the largest goes first, and no more than needed")
    {
        larger->add(limit_bytes / 2);
        CHECK(evicted.empty());
        run_for(*loop, duration::zero());
        CHECK(evicted == std::vector<std::string>{"larger"});
    }
    SECTION("claims that are small or cannot be given up stay")
    {
        large.reset();
        kept.add(limit_bytes);
        run_for(*loop, duration::zero());
        CHECK(evicted.empty());
    }
}

// Guards against a process that runs out of memory, and all its requests with it, when
// several servers send bodies without end.
TEST_CASE("answers without end keep within the budget, and cost others nothing")
{
    const std::unique_ptr<event_loop> loop = event_loop::create().value();
    const auto budget = memory_budget::create(*loop, limit_bytes);
    const auto client = testing::make_client(
        GENERATE(testing::client_kind::libcurl, testing::client_kind::sockets),
        *loop,
        {.memory = budget});
    const exchange_options options{.timeout = seconds(60),
                                   .allows_close_delimited = true};
    std::deque<endless_server> servers;
    std::vector<exchange_end> ends;
    constexpr std::size_t endless_count = 8;
    for (std::size_t n = 0; n < endless_count; ++n)
    {
        client->send(servers.emplace_back(*loop).bound(),
                     {"GET", "/", {}, {}},
                     options,
                     [&](const exchange_result& got) { ends.push_back(got.end); });
    }
    std::size_t most = 0;
    testing::run_until(*loop,
                       [&]
                       {
                           most = std::max(most, budget->used_bytes());
                           return ends.size() >= endless_count / 2;
                       });
    std::optional<exchange_result> own;
    endless_server& plain = servers.emplace_back(*loop);
    plain.body_bytes = 1000;
    client->send(plain.bound(),
                 {"GET", "/", {}, {}},
                 options,
                 [&](exchange_result got) { own = std::move(got); });
    testing::run_until(*loop,
                       [&]
                       {
                           most = std::max(most, budget->used_bytes());
                           return own && ends.size() >= endless_count - 1;
                       });
    CHECK(own->end == exchange_end::answered);
    CHECK(own->answer.body.size() == plain.body_bytes);
    CHECK(std::all_of(ends.begin(),
                      ends.end(),
                      [](exchange_end it) { return it == exchange_end::too_large; }));
    CHECK(most < limit_bytes + large_bytes);
}

// Guards against a process that runs out of memory by bodies that are each within the
// bound for one request.
TEST_CASE("a body for which there is no memory is refused before it is read")
{
    budget_fixture it;
    constexpr std::size_t body_bytes = limit_bytes - large_bytes;
    raw_peer first(it.server->bound());
    first.send(it.head_of_post(body_bytes));
    it.run_until([&] { return it.budget->used_bytes() == body_bytes; });

    SECTION("by its length")
    {
        raw_peer second(it.server->bound());
        second.send(it.head_of_post(body_bytes));
        const std::string got = it.read(second, "nothing");
        CHECK(got.starts_with("HTTP/1.1 503"));
        CHECK(got.find("Retry-After: 1") != std::string::npos);
    }
    SECTION("by what has arrived of it, without a length")
    {
        raw_peer second(it.server->bound());
        second.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "200000\r\n");
        std::string got;
        it.run_until(
            [&]
            {
                second.send(std::string(10000, 'x'));
                got += second.read_some();
                return second.is_ended();
            });
        CHECK(got.starts_with("HTTP/1.1 503"));
    }
    SECTION("others are served beside it")
    {
        raw_peer second(it.server->bound());
        second.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        it.run_until([&] { return it.held.size() == 1; });
        it.held[0]->respond({});
        CHECK(it.read(second, "\r\n\r\n").starts_with("HTTP/1.1 200"));
    }
    SECTION("it is accepted once the memory is free")
    {
        first.close();
        it.run_until([&] { return it.budget->used_bytes() == 0; });
        raw_peer second(it.server->bound());
        second.send(it.head_of_post(body_bytes));
        it.run_until([&] { return it.budget->used_bytes() == body_bytes; });
    }
}

TEST_CASE("a body is counted until the last copy of its request is gone")
{
    budget_fixture it;
    raw_peer peer(it.server->bound());
    peer.send(it.head_of_post(4) + "abcd");
    it.run_until([&] { return it.held.size() == 1; });
    CHECK(it.budget->used_bytes() == 4);
    CHECK(it.handler.received_requests[0].content() == "abcd");
    it.handler.received_requests.clear();
    CHECK(it.budget->used_bytes() == 0);
}

TEST_CASE("a client that leaves answers unread is cut off when there is no memory")
{
    budget_fixture it;
    constexpr int small_window = 4096;
    raw_peer slow(it.server->bound(), small_window);
    std::size_t answers = 0;
    it.run_until(
        [&]
        {
            if (it.held.size() == answers)
            {
                slow.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
            }
            for (; answers < it.held.size(); ++answers)
            {
                http_response large;
                large.body = std::string(large_bytes, 'x');
                it.held[answers]->respond(std::move(large));
            }
            return it.server->connections() == 0 && answers > 0;
        });
    CHECK(answers > limit_bytes / large_bytes);
    CHECK(it.budget->used_bytes() == 0);
}
