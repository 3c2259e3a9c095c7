#pragma once

// A loop with a server and a client on it, for tests that exchange messages on loopback.

#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/testing/client_kind.hpp"
#include "net/testing/read_peer.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace camphorrock::testing
{

// Records each request and answers it by calling a script.
class scripted_handler : public http_handler
{
public:
    using script =
        std::function<void(const http_request&, std::shared_ptr<http_responder>)>;

    explicit scripted_handler(script answer_script) : script_(std::move(answer_script)) {}

    void handle(http_request request, std::shared_ptr<http_responder> responder) override
    {
        received_requests.push_back(request);
        script_(request, std::move(responder));
    }

    std::vector<http_request> received_requests;

private:
    script script_;
};

// Answers with the request's body, target and method.
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
    explicit loop_fixture(scripted_handler::script answer_script = echo,
                          http_server_options server_options = {},
                          http_client_options client_options = {},
                          client_kind kind = client_kind::libcurl)
        : handler(std::move(answer_script)), loop(event_loop::create().value()),
          client(make_client(kind, *loop, client_options))
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

    // Reads what a peer receives up to `mark`, or to the end of its connection.
    std::string read(raw_peer& peer, const std::string& mark)
    {
        return read_until(*loop, peer, mark);
    }

    // Reads what a peer receives up to the end of its connection.
    std::string read_to_end(raw_peer& peer)
    {
        return testing::read_to_end(*loop, peer);
    }

    scripted_handler handler;
    std::unique_ptr<event_loop> loop;
    std::unique_ptr<http_client> client;
    std::unique_ptr<http_server> server;
};

} // namespace camphorrock::testing
