#pragma once

// A non-blocking TCP socket that closes itself.

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
    open,   // done, or nothing can be done just now
    ended,  // the other side sends no more
    failed, // reset, refused or otherwise unusable
};

struct socket_read
{
    socket_state state = socket_state::open;
    std::string bytes;
};

struct socket_write
{
    socket_state state = socket_state::open;
    std::size_t count = 0;
};

class tcp_socket
{
public:
    // Takes the descriptor over.
    explicit tcp_socket(int fd) : fd_(fd) {}

    tcp_socket(tcp_socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

    tcp_socket& operator=(tcp_socket&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }

    ~tcp_socket();

    // Listens at the address.
    static result<tcp_socket> listen(const endpoint& address);

    // Begins to connect; reads and writes wait until it is done.
    static result<tcp_socket> connect(const endpoint& address);

    // The next waiting connection of a listening socket; fails where there is none.
    result<tcp_socket> accept();

    // The IP address of the other side; empty where there is none.
    std::string peer_ip() const;

    socket_read read();
    socket_write write(std::string_view bytes);

    // Sends no more.
    void end_writing();

    // Makes the close a reset, so that the other side learns of it at once.
    void reset_on_close();

    int fd() const
    {
        return fd_;
    }

private:
    int fd_;
};

} // namespace camphorrock
