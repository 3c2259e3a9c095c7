#pragma once

// Stops serving clients, after SIGTERM.
//
//     gateway_stop stop(loop, clients, requests, limit, [&] { loop.stop(); });
//
// In order:
//   - at once: each connection is closed after its next answer, and each request is
//     answered before the limit, at worst by saying that its result is unknown;
//   - after a while, in which the load balancer directs new clients elsewhere: idle
//     connections are closed, no new ones are accepted, and requests that still arrive
//     are refused as not run;
//   - once no request and no connection is left, at the limit at the latest: calls
//     `on_stopped`.

#include "gateway/client_handler.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <functional>

namespace camphorrock
{

class gateway_stop
{
public:
    // Begins to stop. The references must outlive this object. `on_stopped` is called
    // once, on the loop.
    gateway_stop(event_loop& loop,
                 http_server& clients,
                 client_handler& requests,
                 duration limit,
                 std::function<void()> on_stopped);

private:
    void check();
    bool is_idle() const;

    event_loop& loop_;
    http_server& clients_;
    client_handler& requests_;
    std::function<void()> on_stopped_;
    time_point accepts_until_;
    time_point deadline_;
    timer_handle check_timer_;
};

} // namespace camphorrock
