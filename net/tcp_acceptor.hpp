#pragma once

// A listening socket on the event loop, which passes each accepted connection to a
// callback.

#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "net/event_loop.hpp"
#include "net/socket_address.hpp"

#include <functional>
#include <memory>

namespace camphorrock
{

class tcp_acceptor
{
public:
    // Receives ownership of the descriptor, which is non-blocking.
    using callback = std::function<void(int fd, const socket_address& from)>;

    // Listens at once. Fails with error_code::io if the address cannot be bound. `loop`
    // must outlive the acceptor.
    static result<std::unique_ptr<tcp_acceptor>>
    create(event_loop& loop, const endpoint& address, callback on_connection);

    tcp_acceptor(const tcp_acceptor&) = delete;
    tcp_acceptor& operator=(const tcp_acceptor&) = delete;
    ~tcp_acceptor();

    // The address with the port that was bound.
    const endpoint& bound() const
    {
        return bound_;
    }

    // Closes the socket. Connections that have not been accepted yet are reset.
    void stop();

    bool is_stopped() const
    {
        return fd_ < 0;
    }

private:
    tcp_acceptor(event_loop& loop, int fd, callback on_connection);
    void watch();
    void accept_some();
    void pause_if_exhausted(int ec);

    event_loop& loop_;
    int fd_;
    endpoint bound_;
    callback on_connection_;
    watch_handle read_watch_;
    timer_handle pause_timer_;
};

} // namespace camphorrock
