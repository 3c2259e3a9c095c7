#pragma once

// One connection of a pipelined server: reads requests, and writes their answers in
// order.

#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/pipelined_server.hpp"
#include "net/request_parser.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace camphorrock
{

class pipelined_connection;

// What a connection needs of its server.
class pipelined_owner
{
public:
    virtual ~pipelined_owner() = default;

    virtual void handle(http_request request,
                        std::shared_ptr<http_responder> responder) = 0;

    // The server closes its connections after their answers.
    virtual bool is_closing() const = 0;

    // Called once, within the connection's last step; it must not be destroyed there.
    virtual void ended(pipelined_connection& it) = 0;
};

class pipelined_connection : public std::enable_shared_from_this<pipelined_connection>
{
public:
    // Takes over the descriptor, which is non-blocking. `loop` and `owner` must outlive
    // the connection.
    pipelined_connection(event_loop& loop,
                         int fd,
                         const pipelined_server_options& options,
                         pipelined_owner& owner);
    ~pipelined_connection();
    pipelined_connection(const pipelined_connection&) = delete;
    pipelined_connection& operator=(const pipelined_connection&) = delete;

    void start();

    // Requests that were handed on and whose answers are not sent.
    std::size_t in_flight() const
    {
        return slots_.size();
    }

    // Closes a connection without requests; what arrives at the same time is not read.
    void close_if_idle();

    // Closes it where it has been idle, or a request has been coming, for too long.
    void check_time(time_point now);

    // Closes it without further calls to the handler's callbacks.
    void abort();

private:
    class responder;

    // A request's place in the order of answers.
    struct slot
    {
        std::string bytes; // ready to be sent
        bool is_decided = false;
        bool is_complete = false; // nothing is added any more
        bool is_cut = false;      // the connection ends instead of the rest
        bool is_last = false;     // the connection closes behind it
        bool is_head = false;
        bool is_chunked = false;
        std::function<void()> on_gone;
    };

    void watch_input();
    void read_some();
    void take_request(parsed_request got);
    void refuse(const request_refusal& why);
    void answer(slot& it, const http_response& with);
    void begin_stream(slot& it, const http_response& with);
    void flush();
    void flush_soon();
    bool send_bytes(std::string& bytes);
    void client_left();
    void close();

    event_loop& loop_;
    int fd_;
    const pipelined_server_options& options_;
    pipelined_owner& owner_;
    request_parser parser_;
    std::deque<std::shared_ptr<slot>> slots_;
    std::string urgent_;     // interim answers
    bool is_reading_ = true; // false behind the last request
    bool is_flush_posted_ = false;
    time_point last_active_{};
    time_point request_began_{};
    watch_handle readable_;
    watch_handle writable_;
};

} // namespace camphorrock
