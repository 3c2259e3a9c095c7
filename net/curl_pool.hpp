#pragma once

// A libcurl multi handle whose sockets and timer are watched by the loop: either the
// connections to one endpoint, which can be closed together and have a limit of their
// own, or those to all endpoints that need neither. Each multi handle takes some 30 kB.

#include "core/base/result.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <curl/curl.h>
#include <ev.h>

#include <cstddef>
#include <memory>

namespace camphorrock
{

// Who is told of the ends of exchanges. Called on the loop, outside of libcurl.
class curl_pool_owner
{
public:
    virtual ~curl_pool_owner() = default;

    // libcurl reported the end of the exchange on `easy`, which the owner then removes.
    virtual void on_finished(CURL* easy, CURLcode code) = 0;

    // libcurl returned, so that pieces which it stored can be handed on.
    virtual void on_returned() = 0;
};

class curl_pool : public std::enable_shared_from_this<curl_pool>
{
public:
    // `loop` and `owner` must outlive the pool.
    static result<std::shared_ptr<curl_pool>>
    create(event_loop& loop,
           std::shared_ptr<connection_count> count,
           curl_pool_owner& owner);

    // For all endpoints, each with at most so many connections.
    static result<std::shared_ptr<curl_pool>> create_shared(event_loop& loop,
                                                            long connections_per_endpoint,
                                                            curl_pool_owner& owner);

    curl_pool(const curl_pool&) = delete;
    curl_pool& operator=(const curl_pool&) = delete;

    // Closes all connections. No exchange may be left.
    ~curl_pool();

    // Starts the exchange of a handle that is set up. False where memory runs out.
    bool add(CURL* easy);

    // Ends the part of libcurl. The connection of an unfinished exchange is closed.
    void remove(CURL* easy);

    // Follows a change of the endpoint's limit.
    void limit_changed();

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
              std::shared_ptr<connection_count> count,
              curl_pool_owner& owner);
    static int on_socket(CURL*, curl_socket_t fd, int what, void* self, void* watch);
    static int on_timer(CURLM*, long wait_ms, void* self);
    void act(curl_socket_t fd, int events);
    void report();

    event_loop& loop_;
    CURLM* multi_;
    std::shared_ptr<connection_count> count_;
    curl_pool_owner& owner_;
    ev_timer timer_{};
    std::size_t active_ = 0;
    time_point last_used_{};
};

} // namespace camphorrock
