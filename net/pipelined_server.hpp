#pragma once

// An http_server with pipelining: it passes the requests of one connection to the handler
// as they arrive, even while earlier ones wait for their answers, and sends the answers
// in the order of the requests. libmicrohttpd reads no further request of a connection
// before the last one has been answered.
//
// A connection is not read while it has `max_pipelined` or more unanswered requests; one
// read may exceed that number. An answer that closes the connection is the last that is
// sent on it: with close_after_answers(), the answer to the last request that was passed
// to the handler. An ended connection is closed once its client closes it, so that
// answers on their way are not lost (net/lingering_sockets.hpp).

#include "net/http_server.hpp"
#include "net/memory_budget.hpp"

namespace camphorrock
{

struct pipelined_server_options
{
    http_server_options common;
    std::size_t max_pipelined = 32;
    seconds request_timeout = seconds(10); // from a request's first byte to its last
    // How long a client may take to close a connection that the server has ended.
    seconds linger_timeout = seconds(10);
    // Counts bodies of requests, and answers that were not sent yet. If it is exceeded,
    // new bodies are refused with 503, and a client that leaves much unread is cut off.
    // Null: only max_body_bytes bounds them.
    std::shared_ptr<memory_budget> memory{};
};

// Listens at once. Fails with error_code::io if the address cannot be bound. `loop` and
// `handler` must outlive the server.
result<std::unique_ptr<http_server>> create_pipelined_server(
    event_loop& loop, pipelined_server_options options, http_handler& handler);

} // namespace camphorrock
