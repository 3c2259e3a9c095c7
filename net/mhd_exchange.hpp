#pragma once

// One request of one connection, from its request line until its answer is sent or the
// connection is closed, and the responder that a handler holds for it. Shared by the
// connection and the responder, since either can go first.

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

// What an exchange needs of its server.
class mhd_runner
{
public:
    virtual ~mhd_runner() = default;

    // Has libmicrohttpd look at its connections soon.
    virtual void run_soon() = 0;

    // Calls on the loop, not within the caller.
    virtual void post(std::function<void()> what) = 0;
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
    std::size_t body_bytes = 0; // received, kept or not
    bool is_head = false;       // the answer has no body
    bool is_handled = false;    // the handler was called
    bool is_hung_up = false;    // the caller has closed its side
    bool is_suspended = false;
    decision decided = decision::none;
    http_response answer;
    std::string pieces; // of a stream, not sent yet
    bool is_stream_ended = false;
    std::function<void()> on_gone;

    // True until on_gone has lost its purpose.
    bool is_open() const
    {
        return decided == decision::none ||
               (decided == decision::stream && !is_stream_ended);
    }

    // Takes the first decision; has no effect afterwards or once the exchange has ended.
    void decide(decision what, http_response with);

    // Adds to a stream, ends it whole, or cuts it.
    void add_piece(std::string_view piece);
    void end_stream();
    void cut_stream();

    // Copies the next part of a stream to `buf`, as libmicrohttpd's content reader does:
    // returns the number of bytes, or one of its marks for the end.
    std::ptrdiff_t read_stream(char* buf, std::size_t max);

    // Lets libmicrohttpd wait until resume().
    void suspend();
    void resume();

    // The connection's part is over.
    void end();

    // Keeps what to call when the caller goes away, which may have been already.
    void set_on_gone(std::function<void()> what);

    // Calls on_gone, if the exchange is open; at most once.
    void report_gone();
};

// The responder of an exchange. Destroying it undecided cuts the connection.
std::shared_ptr<http_responder> make_responder(std::shared_ptr<mhd_exchange> exchange);

} // namespace camphorrock
