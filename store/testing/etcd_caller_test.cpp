#include "net/testing/loop_fixture.hpp"
#include "net/testing/raw_listener.hpp"
#include "store/store_client.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using camphorrock::testing::loop_fixture;
using camphorrock::testing::raw_listener;
using camphorrock::testing::raw_peer;

namespace
{

const endpoint refusing("127.0.0.1:1");

// Answers every transaction with success and every read with no entries.
void answer_store(const http_request&, std::shared_ptr<http_responder> responder)
{
    responder->respond({200, {}, R"({"header":{"revision":"7"},"succeeded":true})"});
}

struct store_fixture : loop_fixture
{
    explicit store_fixture(
        camphorrock::testing::scripted_handler::script script = answer_store)
        : loop_fixture(std::move(script))
    {
    }

    std::unique_ptr<store_client> connect(std::vector<endpoint> endpoints)
    {
        store_client_options options;
        options.endpoints = std::move(endpoints);
        options.call_timeout = milliseconds(300);
        options.liveness_window = liveness_window;
        return create_store_client(*loop, *client, options).value();
    }

    store_end write(store_client& store)
    {
        std::optional<store_end> got;
        store.compare_and_swap("k", {}, "v", {}, [&](store_write it) { got = it.end; });
        run_until([&] { return got.has_value(); });
        return *got;
    }

    store_end read(store_client& store)
    {
        std::optional<store_end> got;
        store.get("k", [&](store_read it) { got = it.end; });
        run_until([&] { return got.has_value(); });
        return *got;
    }

    duration liveness_window = seconds(100);
};

} // namespace

TEST_CASE("a call that fails is retried at the next endpoint if that is safe")
{
    store_fixture net;
    raw_listener unresponsive; // accepts connections and never answers

    SECTION("a write of which nothing was sent is retried at the next endpoint")
    {
        CHECK(net.write(*net.connect({refusing, net.server->bound()})) ==
              store_end::done);
        CHECK(net.handler.received_requests.size() == 1);
        CHECK(net.write(*net.connect({refusing})) == store_end::failed);
    }

    SECTION("a write that may have arrived ends unknown; the next uses the next endpoint")
    {
        const timer_handle cutting = net.loop->every(
            milliseconds(1),
            [&, peer = std::shared_ptr<raw_peer>()]() mutable
            {
                std::unique_ptr<raw_peer> next = unresponsive.accept();
                peer = next ? std::shared_ptr<raw_peer>(std::move(next)) : peer;
                if (peer && !peer->read_some().empty())
                {
                    peer->close();
                }
            });
        const auto store = net.connect({unresponsive.bound(), net.server->bound()});
        CHECK(net.write(*store) == store_end::unknown);
        CHECK(net.handler.received_requests.empty());
        CHECK(net.write(*store) == store_end::done);
        CHECK(net.handler.received_requests.size() == 1);
    }

    SECTION("a read is retried at the next endpoint within its timeout")
    {
        CHECK(net.read(*net.connect({unresponsive.bound(), net.server->bound()})) ==
              store_end::done);
    }
}

TEST_CASE("4xx means that a write had no effect; 5xx or a malformed 200, unknown")
{
    int status = 0;
    store_fixture net(
        [&](const http_request&, const std::shared_ptr<http_responder>& responder) {
            responder->respond({status, {}, "{}"});
        });
    const auto store = net.connect({net.server->bound()});
    for (int client_error : {400, 404, 429})
    {
        status = client_error;
        CHECK(net.write(*store) == store_end::failed);
    }
    for (int unclear : {200, 500, 503})
    {
        status = unclear;
        CHECK(net.write(*store) == store_end::unknown);
    }
    CHECK(net.read(*store) == store_end::failed);
    CHECK(net.handler.received_requests.size() == 7);
}

TEST_CASE("a write opens a new connection unless the endpoint answered recently")
{
    store_fixture net;
    net.liveness_window = GENERATE(duration(seconds(100)), duration(-1));
    const auto store = net.connect({net.server->bound()});
    net.read(*store);
    net.write(*store);
    net.write(*store);
    CHECK(net.server->connections() ==
          (net.liveness_window > duration::zero() ? 1U : 3U));
}
