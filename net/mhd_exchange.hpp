#pragma once

// One request of one connection, from its request line until its answer is sent or the
// connection is closed, and the responder that a handler holds for it. Shared by the
// connection and the responder, since either can end first.

#include "net/http_message.hpp"
#include "net/http_server.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct MHD_Connection;

namespace camphorrock
{

// The part of the server that its exchanges use.
class mhd_runner
{
public:
    virtual ~mhd_runner() = default;

    // Runs libmicrohttpd from the loop, after the current callback.
    virtual void schedule_run() = 0;

    // Calls `fn` from the loop, after the current callback, if the server still exists.
    virtual void post(std::function<void()> fn) = 0;
};

struct mhd_exchange : std::enable_shared_from_this<mhd_exchange>
{
    enum class decision
    {
        none,
        answer,
        stream,
        abort,
    };

    mhd_runner* server = nullptr;
    MHD_Connection* raw = nullptr; // null once the exchange has ended
    http_request request;
    std::size_t body_bytes = 0; // received, stored or not
    bool is_head = false;       // the answer has no body
    bool is_handled = false;    // the handler was called
    bool is_hung_up = false;    // the caller has closed its sending side
    bool is_suspended = false;
    decision decided = decision::none;
    http_response answer;
    std::string unsent_bytes; // of a stream
    bool is_stream_ended = false;
    std::function<void()> on_disconnect;

    // True until the exchange is answered or aborted, or its stream has ended.
    bool is_answer_pending() const
    {
        return decided == decision::none ||
               (decided == decision::stream && !is_stream_ended);
    }

    // Sets how the request is answered. Only the first call counts, and nothing is sent
    // once the exchange has ended.
    void decide(decision value, http_response response);

    // Adds to a stream, completes it, or aborts its connection.
    void add_piece(std::string_view piece);
    void end_stream();
    void abort_stream();

    // Copies at most `max` bytes of a stream to `buf`, as libmicrohttpd's content reader:
    // returns their number, or one of its codes for the end. With nothing to copy,
    // suspends the connection and returns 0.
    std::ptrdiff_t read_stream(char* buf, std::size_t max);

    // Suspends the connection in libmicrohttpd until resume().
    void suspend();
    void resume();

    // Detaches the exchange from its connection, which has finished with it.
    void detach();

    // Sets the callback for a caller that disconnects; posts it if that happened already.
    void set_on_disconnect(std::function<void()> fn);

    // See http_responder.
    bool is_disconnected() const;

    // Calls on_disconnect if the exchange is still open; at most once.
    void report_disconnect();
};

// The responder of an exchange. Destroying it before a decision aborts the connection.
std::shared_ptr<http_responder> make_responder(std::shared_ptr<mhd_exchange> exchange);

} // namespace camphorrock
