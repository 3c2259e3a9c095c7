#pragma once

// A loop with a server and a client on it, for tests that exchange messages on loopback.

#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/testing/raw_peer.hpp"
#include "net/testing/run_until.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace camphorrock::testing
{

// A handler that keeps what it got, and answers by `what`.
class scripted_handler : public http_handler
{
public:
    using script =
        std::function<void(const http_request&, std::shared_ptr<http_responder>)>;

    explicit scripted_handler(script what) : what_(std::move(what)) {}

    void handle(http_request request, std::shared_ptr<http_responder> responder) override
    {
        seen.push_back(request);
        what_(request, std::move(responder));
    }

    std::vector<http_request> seen;

private:
    script what_;
};

// Gives each request its own body and target back.
inline void echo(const http_request& request, std::shared_ptr<http_responder> responder)
{
    http_response answer;
    answer.headers.add("Seen-Target", request.target);
    answer.headers.add("Seen-Method", request.method);
    answer.body = request.body;
    responder->respond(std::move(answer));
}

struct loop_fixture
{
    explicit loop_fixture(scripted_handler::script what = echo,
                          http_server_options server_options = {},
                          http_client_options client_options = {})
        : handler(std::move(what)), loop(event_loop::create().value()),
          client(http_client::create(*loop, client_options).value())
    {
        server_options.address = endpoint("127.0.0.1:0");
        server = http_server::create(*loop, server_options, handler).value();
    }

    // Sends and runs the loop until the exchange has ended.
    exchange_result exchange(http_request request, exchange_options options = {})
    {
        exchange_result got;
        client->send(server->bound(),
                     std::move(request),
                     options,
                     [&](exchange_result it)
                     {
                         got = std::move(it);
                         loop->stop();
                     });
        loop->run();
        return got;
    }

    void run_until(const std::function<bool()>& is_met)
    {
        testing::run_until(*loop, is_met);
    }

    // What a peer got up to the first `mark`.
    std::string read(raw_peer& peer, const std::string& mark)
    {
        std::string got;
        run_until(
            [&]
            {
                got += peer.read_some();
                return peer.is_ended() || got.find(mark) != std::string::npos;
            });
        return got;
    }

    // What a peer got until its connection ended.
    std::string read_to_end(raw_peer& peer)
    {
        std::string got;
        run_until(
            [&]
            {
                got += peer.read_some();
                return peer.is_ended();
            });
        return got;
    }

    scripted_handler handler;
    std::unique_ptr<event_loop> loop;
    std::unique_ptr<http_client> client;
    std::unique_ptr<http_server> server;
};

} // namespace camphorrock::testing
