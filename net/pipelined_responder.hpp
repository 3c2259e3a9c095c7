#pragma once

// The answers of a pipelined connection: each is made through a responder of its own, in
// any order, and the connection sends them in the order of the requests.

#include "net/http_server.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace camphorrock
{

// The answer to one request.
struct pending_answer
{
    std::string bytes;        // ready to be sent
    bool is_decided = false;  // answered, aborted, or a stream was started
    bool is_complete = false; // nothing is added any more
    bool is_aborted = false;  // the connection closes after `bytes`
    bool is_last = false;     // the connection closes after the answer
    bool is_head = false;
    bool is_chunked = false;
    std::function<void()> on_disconnect;
};

// The part of a connection that its responders use.
class answer_queue
{
public:
    virtual ~answer_queue() = default;

    // Completes the answer with the whole of `response`.
    virtual void answer(pending_answer& it, const http_response& response) = 0;

    // Begins the answer with the head of `response`; pieces follow in chunks.
    virtual void begin_stream(pending_answer& it, const http_response& response) = 0;

    // To be called after an answer has been changed, to have it sent.
    virtual void on_bytes_added() = 0;

    virtual bool is_open() const = 0;

    // Also true if the loop has not handled the close yet. Costs a system call.
    virtual bool is_client_gone() const = 0;

    // Calls `fn` after the current callback of the loop.
    virtual void post(std::function<void()> fn) = 0;
};

// Answers one request. May outlive the connection.
class pipelined_responder : public http_responder
{
public:
    pipelined_responder(std::weak_ptr<answer_queue> connection,
                        std::shared_ptr<pending_answer> pending);
    ~pipelined_responder() override;

    void respond(http_response answer) override;
    void start_stream(http_response head) override;
    void add_piece(std::string_view piece) override;
    void end_stream() override;
    void abort() override;
    void on_disconnect(std::function<void()> fn) override;
    bool is_disconnected() const override;

private:
    void drop_on_disconnect();

    std::weak_ptr<answer_queue> connection_;
    std::shared_ptr<pending_answer> pending_;
};

} // namespace camphorrock
