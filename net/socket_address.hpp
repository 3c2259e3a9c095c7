#pragma once

// Conversion of endpoints, "IP:port" or "[IP]:port" for IPv6, to and from socket
// addresses, and listening TCP sockets.

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

// True if the text is an IP address and a port above 0, as a server can have.
bool is_connectable(const endpoint& text);

// The endpoint that a socket is bound to.
endpoint bound_endpoint(int fd);

// The port that a socket is bound to; 0 if it is bound to none.
int local_port_of(int fd);

// Returns a non-blocking TCP socket that listens at `address`, to be closed by the
// caller. Fails with error_code::invalid_argument if the address cannot be parsed, and
// with error_code::io if the address cannot be bound.
result<int> listen_at(const endpoint& address);

} // namespace camphorrock
