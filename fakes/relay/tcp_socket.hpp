#pragma once

// A non-blocking TCP socket that owns its descriptor.

#include "core/base/names.hpp"
#include "core/base/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace camphorrock
{

enum class socket_state
{
    open,          // usable; the call succeeded or would block
    end_of_stream, // the peer has shut down its side
    failed,        // reset, refused or otherwise unusable
};

struct socket_read
{
    socket_state state = socket_state::open;
    std::string bytes;
};

struct socket_write
{
    socket_state state = socket_state::open;
    std::size_t count = 0; // bytes written; 0: the call would block
};

class tcp_socket
{
public:
    // Takes ownership of the descriptor, which is non-blocking.
    explicit tcp_socket(int fd) : fd_(fd) {}

    tcp_socket(tcp_socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

    tcp_socket& operator=(tcp_socket&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }

    ~tcp_socket();

    // Returns a socket that listens on the address; port 0 selects a free port.
    static result<tcp_socket> listen(const endpoint& address);

    // Starts to connect. Until the connection is established, reads and writes report
    // that they would block. Fails if the address is malformed or the system refuses the
    // attempt at once.
    static result<tcp_socket> connect(const endpoint& address);

    // Accepts a connection on a listening socket; fails if none is pending.
    result<tcp_socket> accept();

    // Returns the IP address of the peer, or "" if the socket is not connected.
    std::string peer_ip() const;

    socket_read read();
    socket_write write(std::string_view bytes);

    // Ends the outgoing stream; the peer reads the end of the stream.
    void shutdown_write();

    // Makes the close reset the connection, so that the peer fails at once.
    void reset_on_close();

    int fd() const
    {
        return fd_;
    }

private:
    int fd_;
};

} // namespace camphorrock
