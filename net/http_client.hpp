#pragma once

// An HTTP/1.1 client on the program's event loop. http_client::create() makes one that
// uses libcurl's multi interface, net/socket_client.hpp one for servers whose bytes may
// come where they are not expected.
//
//     exchange_id id = client.send(server, request, {.timeout = milliseconds(200)},
//                                  [&](exchange_result got) { ... });
//
// Each exchange ends in exactly one callback, unless it is cancelled first. A cancelled
// or timed-out exchange closes its connection, so a late answer is never taken for that
// to another request. Nothing is sent after an exchange's timeout, however late the loop
// is. The callback is never called within send().

#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "core/base/time.hpp"
#include "net/answer_fault.hpp"
#include "net/endpoint_connections.hpp"
#include "net/event_loop.hpp"
#include "net/http_message.hpp"
#include "net/memory_budget.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace camphorrock
{

// How an exchange ended. `not_connected`, `timed_out_before_send` and `withdrawn` prove
// that no byte of the request was sent.
enum class exchange_end
{
    answered,              // the whole answer has arrived
    not_connected,         // no connection could be opened: nothing was sent
    timed_out_before_send, // the time ran out before any byte was sent
    withdrawn,             // exchange_options::is_wanted returned false
    timed_out,             // the time ran out after bytes were sent
    connection_lost,       // the connection broke after bytes were sent, or in the answer
    invalid_answer, // the bytes are no answer, or its readers could differ about it
    too_large,      // the answer exceeded its bounds, or the memory budget
};

// "answered", "not_connected", ...; "cut" for connection_lost.
std::string_view name_of(exchange_end value);

// True if no byte of the request can have reached the other side.
bool is_unsent(exchange_end value);

struct exchange_result
{
    exchange_end end = exchange_end::not_connected;
    http_response answer;              // only for `answered`
    bool is_connection_reused = false; // the connection had carried an earlier exchange
    // For `not_connected`: the other host refused the connection (nothing listens there).
    bool is_connection_refused = false;
    answer_fault fault = answer_fault::none; // for `invalid_answer`
    // For `too_large`: the answer's size as its head states it or, if it states none,
    // what had arrived.
    std::size_t answer_bytes = 0;
    duration time_taken{}; // since send() or stream(); zero if it could not start
};

enum class connection_choice
{
    pooled, // an idle connection that was kept, if there is one
    fresh,  // always a new one, which is then kept
};

struct exchange_options
{
    duration timeout = seconds(1); // of the whole exchange
    duration connect_timeout = milliseconds(250);
    std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t max_head_bytes =
        std::size_t{128} * 1024; // of all its heads, interim ones too
    connection_choice connection = connection_choice::pooled;
    // Accepts an answer without a length as whole if the other side closed the connection
    // in order. Otherwise it counts as connection_lost, since it may be truncated.
    bool allows_close_delimited = false;
    // Asked just before the request is sent, since the loop may be late: a reason not to
    // send it may have arrived that the loop has not handled yet. Empty: always wanted.
    std::function<bool()> is_wanted{};
    // Asked once the headers of an answer are complete. Returns false for an answer to an
    // earlier request, which a server may send once more: it is skipped, and the next one
    // on the connection is read. Only socket_client does so; with libcurl, the exchange
    // ends with the first answer. Empty: the first answer is the request's own.
    std::function<bool(const http_response&)> is_own_answer{};
};

// Identifies an exchange until its callback; never reused.
struct exchange_id
{
    std::uint64_t value = 0;

    auto operator<=>(const exchange_id&) const = default;
};

struct http_client_options
{
    long max_connections_per_endpoint = 32; // further exchanges wait for one
    seconds max_idle = seconds(30);         // a connection idle for longer is not reused
    std::string source{}; // local IP address of the connections; empty: any
    // A connection whose other side acknowledges nothing for this long is closed, also
    // one that waits for an answer. Zero: only the operating system's limits apply.
    duration ack_timeout{};
    // Closes connections with a reset, so that bytes not sent yet do not arrive later.
    bool resets_on_close = false;
    // Endpoints share one pool, which saves about 30 kB of memory for each of them, until
    // drop_connections() is called for them. Not for clients that call
    // limit_connections(): idle connections of a shared pool are closed late.
    bool shares_pool = false;
    // Counts answers as they arrive. If it is exceeded, the exchange of a large answer
    // ends as too_large. Null: only exchange_options::max_answer_bytes bounds them.
    std::shared_ptr<memory_budget> memory{};
};

class http_client
{
public:
    using callback = std::function<void(exchange_result)>;

    // `loop` must outlive the client.
    static result<std::unique_ptr<http_client>> create(event_loop& loop,
                                                       http_client_options options);

    virtual ~http_client() = default;

    // `to` is "IP:port". The request's target is sent as it stands.
    virtual exchange_id send(const endpoint& to,
                             http_request request,
                             exchange_options options,
                             callback done) = 0;

    // Ends the exchange without its callback and closes its connection. No effect on an
    // exchange that has ended. Returns whether bytes of the request may have been sent.
    virtual bool cancel(exchange_id id) = 0;

    // Uses no open connection to `to` for another exchange, and closes them all once the
    // exchanges in flight to it have ended. For a peer that has become unresponsive.
    virtual void drop_connections(const endpoint& to) = 0;

    // Limits the connections to `to`; nullopt restores the limit of the options. If more
    // than `pooled` are open, they are dropped as by drop_connections().
    virtual void limit_connections(const endpoint& to,
                                   std::optional<connection_limit> limit) = 0;

    // Like send(), but calls `on_piece` for each piece of the answer's body as it
    // arrives, for streams that do not end (a watch). The exchange still ends in `done`,
    // with an empty body. max_answer_bytes applies to the headers only.
    virtual exchange_id stream(const endpoint& to,
                               http_request request,
                               exchange_options options,
                               std::function<void(std::string_view)> on_piece,
                               callback done) = 0;
};

} // namespace camphorrock
