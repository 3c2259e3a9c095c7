#pragma once

// A bound UDP socket on the event loop. A datagram that cannot be sent at once is
// dropped.

#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace camphorrock
{

class udp_socket
{
public:
    using callback = std::function<void(std::string_view datagram)>;

    // Fails with error_code::io if the address cannot be bound. `loop` must outlive the
    // socket.
    static result<std::unique_ptr<udp_socket>>
    create(event_loop& loop, const endpoint& address, callback on_datagram);

    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    // Drops the datagram without an error if `to` is not of the form IP:port.
    void send(const endpoint& to, std::string_view datagram);

private:
    udp_socket(int fd, callback on_datagram);
    void read_datagrams();

    int fd_;
    callback on_datagram_;
    watch_handle read_watch_;
};

} // namespace camphorrock
