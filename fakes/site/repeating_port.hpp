#pragma once

// A server's port that writes some refusals twice: the copy of a refusal is sent where
// the next answer on its connection is due. The copy bears the id of the request that was
// refused, also when that request is under way again on the same connection.
//
//     auto port = repeating_port::create(loop, {.copy_share = 0.5}, handler);
//
// Answers the requests of a connection one at a time, in their order. Closes a connection
// whose caller leaves an answer unread, or sends what is no request. Headers and bodies
// may have 64 kB each.

#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/tcp_acceptor.hpp"

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace camphorrock::fakes
{

class repeating_connection;

struct repeating_port_options
{
    endpoint address = endpoint("127.0.0.1:0");
    // The share of refusals that are written twice. A refusal is an answer with a
    // Request-Id that says that its request was not run.
    double copy_share = 1;
    std::uint64_t seed = 1;
};

// A copy that was written.
struct refusal_copy
{
    std::string request_id;
    int status = 0;
    time_point at{};
    // The request whose answer was due.
    std::string due_request_id;
};

class repeating_port
{
public:
    // Listens at once. Fails with error_code::io if the address cannot be bound. `loop`
    // and `handler` must outlive the port.
    static result<std::unique_ptr<repeating_port>> create(
        event_loop& loop, const repeating_port_options& options, http_handler& handler);

    repeating_port(const repeating_port&) = delete;
    repeating_port& operator=(const repeating_port&) = delete;

    // Closes all connections.
    ~repeating_port();

    const endpoint& bound() const
    {
        return acceptor_->bound();
    }

    // Ends all connections, as a server does that ends. New ones are accepted.
    void close_connections();

    const std::vector<refusal_copy>& copies() const
    {
        return copies_;
    }

private:
    friend class repeating_connection;

    repeating_port(event_loop& loop,
                   const repeating_port_options& options,
                   http_handler& handler);
    bool decide_to_copy();

    event_loop& loop_;
    http_handler& handler_;
    double copy_share_;
    std::mt19937_64 random_;
    std::unique_ptr<tcp_acceptor> acceptor_;
    std::set<std::shared_ptr<repeating_connection>> connections_;
    std::vector<refusal_copy> copies_;
};

} // namespace camphorrock::fakes
