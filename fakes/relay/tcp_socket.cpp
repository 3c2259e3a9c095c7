#include "fakes/relay/tcp_socket.hpp"

#include "net/socket_address.hpp"

#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace camphorrock
{
namespace
{

constexpr std::size_t max_read_bytes = 64UL * 1024;

bool is_transient_error(int code)
{
    return code == EAGAIN || code == EWOULDBLOCK || code == EINTR || code == ENOTCONN;
}

void set_no_delay(int fd)
{
    int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

tcp_socket::~tcp_socket()
{
    if (fd_ >= 0)
    {
        ::close(fd_);
    }
}

result<tcp_socket> tcp_socket::listen(const endpoint& address)
{
    BOOST_LEAF_AUTO(fd, listen_at(address));
    return tcp_socket(fd);
}

result<tcp_socket> tcp_socket::connect(const endpoint& address)
{
    BOOST_LEAF_AUTO(to, parse_address(address));
    int type = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;
    tcp_socket made(::socket(to.raw()->sa_family, type, 0));
    if (made.fd_ < 0)
    {
        return fail(error_code::io, std::strerror(errno));
    }
    set_no_delay(made.fd_);
    if (::connect(made.fd_, to.raw(), to.size) != 0 && errno != EINPROGRESS)
    {
        return fail(error_code::unavailable, std::strerror(errno));
    }
    return made;
}

result<tcp_socket> tcp_socket::accept()
{
    int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
    {
        return fail(error_code::not_found, std::strerror(errno));
    }
    set_no_delay(fd);
    return tcp_socket(fd);
}

std::string tcp_socket::peer_ip() const
{
    sockaddr_storage at{};
    socklen_t size = sizeof at;
    char buf[INET6_ADDRSTRLEN] = {};
    auto* raw = reinterpret_cast<sockaddr*>(&at);
    bool is_known =
        ::getpeername(fd_, raw, &size) == 0 &&
        ::getnameinfo(raw, size, buf, sizeof buf, nullptr, 0, NI_NUMERICHOST) == 0;
    return is_known ? buf : "";
}

socket_read tcp_socket::read()
{
    std::string buf(max_read_bytes, '\0');
    ssize_t n = ::recv(fd_, buf.data(), buf.size(), 0);
    if (n < 0)
    {
        return {is_transient_error(errno) ? socket_state::open : socket_state::failed,
                ""};
    }
    buf.resize(static_cast<std::size_t>(n));
    return {n == 0 ? socket_state::end_of_stream : socket_state::open, std::move(buf)};
}

socket_write tcp_socket::write(std::string_view bytes)
{
    ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0)
    {
        return {is_transient_error(errno) ? socket_state::open : socket_state::failed, 0};
    }
    return {socket_state::open, static_cast<std::size_t>(n)};
}

void tcp_socket::shutdown_write()
{
    ::shutdown(fd_, SHUT_WR);
}

void tcp_socket::reset_on_close()
{
    linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

} // namespace camphorrock
