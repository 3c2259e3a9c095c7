#pragma once

// A client's connection on a nonblocking socket, which carries one exchange after the
// other. Each byte that arrives on it goes to the parser of the exchange in flight, and
// nowhere else: bytes behind the own answer, or while no exchange is in flight, end the
// use of the connection.
//
//     auto it = socket_connection::open(loop, to, options, owner);
//     it->start();                          // owner.on_connection_opened(*it)
//     if (it->is_clean() && it->send(...))  // owner.on_answer_ended(*it)
//     if (it->is_reusable()) it->begin_idle();
//
// Invariants: a request is sent only while nothing is there to read, so that its answer
// began after it was sent. An answer that ends with its connection is whole only if no
// write of its request fails: a server that closes the connection before it has read the
// request may have crashed within the answer.
//
// Cost: of an exchange, one system call each to look for bytes, to send and to receive,
// if the messages are small.

#include "core/base/names.hpp"
#include "net/answer_parser.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/memory_budget.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

class socket_connection;

// Called on the loop; may destroy the connection in each call.
class socket_connection_owner
{
public:
    virtual ~socket_connection_owner() = default;

    virtual void on_connection_opened(socket_connection& it) = 0;

    // `is_refused`: the other host refused it (nothing listens there).
    virtual void on_connection_failed(socket_connection& it, bool is_refused) = 0;

    // A part of a streamed body can be taken.
    virtual void on_pieces_arrived(socket_connection& it) = 0;

    // The own answer is whole, or will not be.
    virtual void on_answer_ended(socket_connection& it) = 0;

    // The other side closed the connection, or sent bytes, while it was idle.
    virtual void on_idle_ended(socket_connection& it) = 0;
};

class socket_connection
{
public:
    // Begins to connect. Returns null if the system has no socket for it. `loop`,
    // `client` and `owner` must outlive the connection.
    static std::unique_ptr<socket_connection> open(event_loop& loop,
                                                   const endpoint& to,
                                                   const http_client_options& client,
                                                   socket_connection_owner& owner);
    socket_connection(const socket_connection&) = delete;
    socket_connection& operator=(const socket_connection&) = delete;

    // Closes the connection.
    ~socket_connection();

    // Reports the end of connecting to the owner, possibly within this call. Fails after
    // `connect_timeout`.
    void start(duration connect_timeout);

    const endpoint& to() const
    {
        return to_;
    }

    // The exchange in flight, for the owner; 0 if there is none.
    std::uint64_t exchange() const
    {
        return exchange_;
    }

    void set_exchange(std::uint64_t value)
    {
        exchange_ = value;
    }

    // True if the connection is open and nothing is there to read.
    bool is_clean() const;

    // Sends a request, of which `body` must live until the answer has ended. Counts the
    // answer in `memory`, which must live as long. Returns false if the connection broke
    // before any byte was sent.
    bool send(std::string head,
              std::string_view body,
              answer_rules rules,
              memory_claim& memory);

    // True once a byte of the current request was handed to the operating system.
    bool has_sent() const
    {
        return sent_bytes_ > 0;
    }

    // Of the answer that has ended.
    answer_state state() const;
    std::size_t answer_bytes() const;
    answer_fault fault() const;
    http_response take_answer();
    std::string take_pieces();

    // True after an own answer that was whole, behind which nothing came, to a request
    // other than HEAD that had been sent in full when it began.
    bool is_reusable() const;

    // Ends the exchange, so that the connection can be kept for another one.
    void begin_idle();

private:
    socket_connection(event_loop& loop,
                      endpoint to,
                      int fd,
                      socket_connection_owner& owner);
    void connect(const http_client_options& client);
    void check_connected();
    void fail(int ec);
    bool write();
    void write_more();
    void on_sent();
    void read();
    void parse(std::string_view bytes);
    void on_parsed();
    void await_reset();
    void end_answer();
    bool is_accepted() const;
    bool is_reset_behind_end() const;
    bool is_all_sent() const;

    event_loop& loop_;
    endpoint to_;
    int fd_;
    socket_connection_owner& owner_;
    int connect_error_ = 0; // of the first call
    std::uint64_t exchange_ = 0;
    std::optional<answer_parser> parser_; // of the exchange in flight
    std::string head_;
    std::string_view body_;
    std::size_t sent_bytes_ = 0;  // of head and body
    bool is_send_broken_ = false; // a write has failed
    bool has_ended_ = false;      // the other side has ended its direction
    bool is_early_ = false;       // the answer began before the request was sent in full
    bool is_broken_ = false;      // the connection ended within the answer
    bool has_excess_ = false;     // bytes came behind the own answer
    timer_handle connect_limit_;
    timer_handle reset_limit_;
    watch_handle read_watch_;
    watch_handle write_watch_;
};

} // namespace camphorrock
