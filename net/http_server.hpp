#pragma once

// An HTTP/1.1 server on the program's event loop, using libmicrohttpd without threads.
//
//     auto server = http_server::create(loop, {.address = endpoint("127.0.0.1:8080")},
//     handler);
//
// The handler is called once for each whole request, and answers through the responder,
// at once or later. A request that libmicrohttpd cannot parse, or whose headers or body
// exceed the options' limits, is answered here (400, 413, 431) and never reaches the
// handler.

#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "net/event_loop.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace camphorrock
{

// Answers one request. The handler keeps it alive until it has answered; destroying it
// before the answer, or within a stream, aborts the connection.
class http_responder
{
public:
    virtual ~http_responder() = default;

    // Sends the whole answer. Only the first call of respond(), start_stream() or abort()
    // has an effect, and none once the connection is closed.
    virtual void respond(http_response answer) = 0;

    // Sends the status and headers of `head` now, and the body in pieces until
    // end_stream(), for an answer without a known end (a watch). The connection is
    // aborted if the caller leaves 16 MiB unread.
    virtual void start_stream(http_response head) = 0;
    virtual void add_piece(std::string_view piece) = 0;
    virtual void end_stream() = 0;

    // Aborts the connection without an answer or within a stream, for an answer that
    // cannot be completed.
    virtual void abort() = 0;

    // Sets the callback for a caller that disconnects, or closes its sending side, before
    // it is answered or its stream has ended. Called at most once, on the loop; destroyed
    // without a call once there is an answer.
    virtual void on_disconnect(std::function<void()> fn) = 0;

    // True if the caller has disconnected or closed its sending side, also if the loop
    // has not handled that yet. To be asked before work that should not be done for a
    // caller that has left. Costs one system call.
    virtual bool is_disconnected() const = 0;
};

class http_handler
{
public:
    virtual ~http_handler() = default;
    virtual void handle(http_request request,
                        std::shared_ptr<http_responder> responder) = 0;
};

struct http_server_options
{
    endpoint address; // "IP:port"; port 0 takes a free one
    // Of the request line and headers.
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024; // of one request
    unsigned max_connections = 4096;    // further ones are closed at accept
    seconds idle_timeout = seconds(60); // of a connection without a request
};

class http_server
{
public:
    // Listens at once. Fails with error_code::io if the address cannot be bound. `loop`
    // and `handler` must outlive the server.
    static result<std::unique_ptr<http_server>>
    create(event_loop& loop, http_server_options options, http_handler& handler);

    virtual ~http_server() = default;

    // The address with the port that was bound.
    virtual endpoint bound() const = 0;

    // Stops accepting connections; requests in flight are still answered. Each later
    // answer closes its connection.
    virtual void stop_accepting() = 0;

    // From now on each answer closes its connection; new connections are still accepted.
    virtual void close_after_answers() = 0;

    // Closes the connections that carry no request. A request that arrives there at the
    // same time does not reach the handler.
    virtual void close_idle() = 0;

    // Requests whose answer has not been sent whole yet.
    virtual std::size_t in_flight() const = 0;

    // Open connections, with or without a request.
    virtual std::size_t connections() const = 0;

    // Ended connections that their clients have not closed yet: the last answers may
    // still be on their way.
    virtual std::size_t lingering_connections() const = 0;
};

} // namespace camphorrock
