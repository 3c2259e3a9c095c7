#pragma once

// An HTTP/1.1 client on the program's loop, by libcurl's multi interface.
//
//     exchange_id id = client.send(server, request, {.timeout = milliseconds(200)},
//                                  [&](exchange_result got) { ... });
//
// Each exchange ends in exactly one callback, unless it is cancelled first. A cancelled
// or timed-out exchange closes its connection, so a late answer can never meet another
// request. The callback is never made inside send().

#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "core/base/time.hpp"
#include "net/connection_count.hpp"
#include "net/event_loop.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace camphorrock
{

// How an exchange ended. The first two are proof that no byte of the request left.
enum class exchange_end
{
    answered,              // the whole answer is here
    not_connected,         // no connection could be opened: nothing was sent
    timed_out_before_send, // the time ran out before any byte was sent
    timed_out,             // the time ran out after bytes were sent
    cut,       // the connection broke after bytes were sent, or within the answer
    too_large, // the answer exceeded the bound
};

// "answered", "not_connected", ...
std::string_view name_of(exchange_end value);

// True where no byte of the request can have reached the other side.
bool is_nothing_sent(exchange_end value);

struct exchange_result
{
    exchange_end end = exchange_end::not_connected;
    http_response answer; // only for `answered`
    bool reused = false;  // the connection had carried an earlier exchange
    // For `not_connected`: the other side's host answered that nobody listens there.
    bool is_refused = false;
    duration time_taken{};
};

enum class connection_choice
{
    pooled, // a kept connection where there is one
    fresh,  // always a new one, which is then kept
};

struct exchange_options
{
    duration timeout = seconds(1); // of the whole exchange
    duration connect_timeout = milliseconds(250);
    std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;
    connection_choice connection = connection_choice::pooled;
    // An answer without a length is whole where the other side closed the connection in
    // order; else it counts as cut, since it may have been cut short.
    bool is_end_by_close_whole = false;
};

// Names an exchange until its callback; never reused.
struct exchange_id
{
    std::uint64_t value = 0;

    auto operator<=>(const exchange_id&) const = default;
};

struct http_client_options
{
    long max_connections_per_endpoint = 32; // further exchanges wait for one
    seconds max_idle = seconds(30);         // a connection idle for longer is not reused
    std::string source{}; // IP address that connections come from; empty: any
    // A connection whose other side acknowledges nothing for so long is closed, also one
    // that waits for an answer; zero: only the system's own limits.
    duration silent_limit{};
    // Connections are reset when they are closed, so that what was not sent yet does not
    // arrive later.
    bool resets_on_close = false;
    // Endpoints share what libcurl needs for each of them, some 30 kB, until they are
    // dropped. Not for clients that call limit_connections(): idle connections of a
    // shared pool are closed late.
    bool shares_pool = false;
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
    // exchange that has ended.
    virtual void cancel(exchange_id id) = 0;

    // Uses no connection to `to` for another exchange, and closes them all once the
    // exchanges that run to it have ended. For a pool that has gone silent.
    virtual void drop_connections(const endpoint& to) = 0;

    // Bounds the connections to `to`; none: as the options say again. Where more are
    // open, the pool is dropped.
    virtual void limit_connections(const endpoint& to,
                                   std::optional<connection_limit> limit) = 0;

    // Called for each piece of an answer as it arrives, for streams that do not end (a
    // watch). The exchange still ends in `done`; its answer's body is then empty.
    virtual exchange_id stream(const endpoint& to,
                               http_request request,
                               exchange_options options,
                               std::function<void(std::string_view)> on_piece,
                               callback done) = 0;
};

} // namespace camphorrock
