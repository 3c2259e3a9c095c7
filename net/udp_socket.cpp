#include "net/udp_socket.hpp"

#include "net/socket_address.hpp"

#include <unistd.h>

#include <utility>

namespace camphorrock
{
namespace
{

constexpr std::size_t max_datagram_bytes = std::size_t{64} * 1024;
constexpr int max_datagrams_per_event = 64; // then other events are handled

} // namespace

result<std::unique_ptr<udp_socket>>
udp_socket::create(event_loop& loop, const endpoint& address, callback on_datagram)
{
    BOOST_LEAF_AUTO(at, parse_address(address));
    const int fd =
        socket(at.storage.ss_family, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0)
    {
        return fail(error_code::io, "cannot create a UDP socket");
    }
    std::unique_ptr<udp_socket> made(new udp_socket(fd, std::move(on_datagram)));
    if (bind(fd, at.raw(), at.size) != 0)
    {
        return fail(error_code::io, "cannot bind a UDP socket to " + address.str());
    }
    udp_socket* self = made.get();
    made->read_watch_ = loop.on_readable(fd, [self] { self->read_datagrams(); });
    return made;
}

udp_socket::udp_socket(int fd, callback on_datagram)
    : fd_(fd), on_datagram_(std::move(on_datagram))
{
}

udp_socket::~udp_socket()
{
    read_watch_.reset();
    close(fd_);
}

void udp_socket::send(const endpoint& to, std::string_view datagram)
{
    value_or_handle(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(at, parse_address(to));
            sendto(fd_, datagram.data(), datagram.size(), 0, at.raw(), at.size);
            return {};
        },
        [](const error&) {}); // an invalid address is ignored
}

void udp_socket::read_datagrams()
{
    static char buf[max_datagram_bytes];
    for (int n = 0; n < max_datagrams_per_event; ++n)
    {
        const ssize_t got = recv(fd_, buf, sizeof buf, 0);
        if (got < 0)
        {
            return;
        }
        on_datagram_(std::string_view(buf, static_cast<std::size_t>(got)));
    }
}

} // namespace camphorrock
