#pragma once

// The operating system's form of an endpoint "IP:port" ("[IP]:port" for IPv6), and the
// listening sockets that are made from one.

#include "core/base/names.hpp"
#include "core/base/result.hpp"

#include <sys/socket.h>

namespace camphorrock
{

struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size = 0;

    const sockaddr* raw() const
    {
        return reinterpret_cast<const sockaddr*>(&storage);
    }
};

// Fails with error_code::invalid_argument for host names and for text of any other form.
result<socket_address> parse_address(const endpoint& text);

// The endpoint that a socket is bound to.
endpoint bound_endpoint(int fd);

// A non-blocking TCP socket that listens at `address`. The caller closes it. Fails with
// error_code::io if the address cannot be bound.
result<int> listen_at(const endpoint& address);

} // namespace camphorrock
