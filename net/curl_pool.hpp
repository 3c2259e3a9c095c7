#pragma once

// A libcurl multi handle whose sockets and timer are watched by the event loop. It holds
// either the connections to one endpoint, which can be closed together and have a limit
// of their own, or those to all endpoints that need neither. Each multi handle takes
// about 30 kB of memory.

#include "core/base/result.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <curl/curl.h>
#include <ev.h>

#include <cstddef>
#include <memory>

namespace camphorrock
{

// Receives the ends of exchanges. Called on the loop, outside of libcurl.
class curl_pool_owner
{
public:
    virtual ~curl_pool_owner() = default;

    // libcurl reported the end of the exchange on `easy`, which the owner then removes.
    virtual void on_exchange_finished(CURL* easy, CURLcode code) = 0;

    // libcurl returned to the loop, so pieces that were stored can now be delivered.
    virtual void on_libcurl_returned() = 0;
};

class curl_pool : public std::enable_shared_from_this<curl_pool>
{
public:
    // `loop` and `owner` must outlive the pool.
    static result<std::shared_ptr<curl_pool>>
    create(event_loop& loop,
           std::shared_ptr<endpoint_connections> connections,
           curl_pool_owner& owner);

    // Serves all endpoints, with at most `connections_per_endpoint` to each of them.
    static result<std::shared_ptr<curl_pool>> create_shared(event_loop& loop,
                                                            long connections_per_endpoint,
                                                            curl_pool_owner& owner);

    curl_pool(const curl_pool&) = delete;
    curl_pool& operator=(const curl_pool&) = delete;

    // Closes all connections. Every exchange must have been removed before.
    ~curl_pool();

    // Starts the exchange of a configured handle. Returns false if memory runs out.
    bool add(CURL* easy);

    // Removes the handle. The connection of an unfinished exchange is closed.
    void remove(CURL* easy);

    // Applies the endpoint's current limit. Not for a pool that serves all endpoints.
    void apply_limit();

    // Exchanges added and not removed.
    std::size_t active() const
    {
        return active_;
    }

    // When an exchange was last added or removed.
    time_point last_used() const
    {
        return last_used_;
    }

private:
    struct socket_watch;

    curl_pool(event_loop& loop,
              CURLM* multi,
              std::shared_ptr<endpoint_connections> connections,
              curl_pool_owner& owner);
    static int on_socket(CURL*, curl_socket_t fd, int what, void* self, void* watch);
    static int on_timer(CURLM*, long wait_ms, void* self);
    void run_socket_action(curl_socket_t fd, int events);
    void report_finished();

    event_loop& loop_;
    CURLM* multi_;
    // Null if the pool serves all endpoints.
    std::shared_ptr<endpoint_connections> connections_;
    curl_pool_owner& owner_;
    ev_timer timer_{};
    std::size_t active_ = 0;
    time_point last_used_{};
};

} // namespace camphorrock
