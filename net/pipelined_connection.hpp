#pragma once

// One connection of a pipelined server: reads requests and writes their answers in the
// order of the requests.

#include "net/event_loop.hpp"
#include "net/pipelined_responder.hpp"
#include "net/pipelined_server.hpp"
#include "net/request_parser.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace camphorrock
{

class pipelined_connection;

// The part of the server that its connections use.
class pipelined_owner
{
public:
    virtual ~pipelined_owner() = default;

    virtual void handle(http_request request,
                        std::shared_ptr<http_responder> responder) = 0;

    // True if the server closes its connections after their answers.
    virtual bool is_draining() const = 0;

    // The connection has stopped reading for the first time. From now on the owner calls
    // on_hangup() once the client closes its sending side.
    virtual void watch_hangup(pipelined_connection& it, int fd) = 0;

    // Takes ownership of a descriptor on which all answers were sent, and closes it as
    // lingering_sockets does.
    virtual void close_lingering(int fd) = 0;

    // Called once, when the connection has closed or has no answers to send any more. The
    // connection holds a reference to itself during the call.
    virtual void on_connection_closed(pipelined_connection& it) = 0;
};

class pipelined_connection : public answer_queue,
                             public std::enable_shared_from_this<pipelined_connection>
{
public:
    // Takes ownership of the descriptor, which must be non-blocking. `loop` and `owner`
    // must outlive the connection.
    pipelined_connection(event_loop& loop,
                         int fd,
                         const pipelined_server_options& options,
                         pipelined_owner& owner);
    ~pipelined_connection() override;
    pipelined_connection(const pipelined_connection&) = delete;
    pipelined_connection& operator=(const pipelined_connection&) = delete;

    void start();

    // Requests whose answers have not been sent completely.
    std::size_t in_flight() const
    {
        return pending_answers_.size();
    }

    // The client has closed its sending side: closes the connection and calls the
    // on_disconnect callbacks. While the connection is read, the end of what was sent
    // does that.
    void on_hangup();

    // Closes the connection if it has no request. Bytes that arrive at the same time are
    // discarded.
    void close_if_idle();

    // Closes the connection if it has been idle for longer than idle_timeout. Refuses a
    // request that has been incomplete for longer than request_timeout (408), after the
    // answers to earlier ones.
    void close_if_timed_out(time_point now);

    // Closes the connection without calling on_disconnect callbacks.
    void abort();

private:
    void update_read_watch();
    void notice_close_unread();
    void read_some();
    void on_request(parsed_request got);
    void refuse(const request_refusal& why);
    void answer(pending_answer& it, const http_response& response) override;
    void begin_stream(pending_answer& it, const http_response& response) override;
    void on_bytes_added() override;
    bool is_open() const override;
    bool is_client_gone() const override;
    void post(std::function<void()> fn) override;
    void flush();
    void send_answers();
    void count_unsent();
    void schedule_flush();
    bool send_bytes(std::string& bytes);
    void disconnect();
    void end_answers();
    static void
    report_disconnect(const std::deque<std::shared_ptr<pending_answer>>& requests);
    void close();
    std::optional<int> take_socket();

    event_loop& loop_;
    int fd_;
    const pipelined_server_options& options_;
    pipelined_owner& owner_;
    request_parser parser_;
    std::deque<std::shared_ptr<pending_answer>> pending_answers_;
    std::string interim_bytes_;          // bytes of interim answers (1xx)
    memory_claim unsent_;                // of the answers
    bool accepts_requests_ = true;       // false after the last request of the connection
    bool has_completed_request_ = false; // in the current read
    bool is_flush_scheduled_ = false;
    bool is_hangup_watched_ = false;
    time_point last_active_{};
    time_point request_started_{};
    watch_handle read_watch_;
    watch_handle write_watch_;
};

} // namespace camphorrock
