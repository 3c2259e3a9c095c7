#include "net/tcp_acceptor.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr int max_accepts_per_event = 64;
constexpr milliseconds accept_pause(100); // after a lack of descriptors or memory

} // namespace

result<std::unique_ptr<tcp_acceptor>>
tcp_acceptor::create(event_loop& loop, const endpoint& address, callback on_connection)
{
    BOOST_LEAF_AUTO(fd, listen_at(address));
    std::unique_ptr<tcp_acceptor> made(
        new tcp_acceptor(loop, fd, std::move(on_connection)));
    made->watch();
    return made;
}

tcp_acceptor::tcp_acceptor(event_loop& loop, int fd, callback on_connection)
    : loop_(loop), fd_(fd), bound_(bound_endpoint(fd)),
      on_connection_(std::move(on_connection))
{
}

tcp_acceptor::~tcp_acceptor()
{
    stop();
}

void tcp_acceptor::stop()
{
    read_watch_.reset();
    pause_timer_.reset();
    if (fd_ >= 0)
    {
        close(std::exchange(fd_, -1));
    }
}

void tcp_acceptor::watch()
{
    read_watch_ = loop_.on_readable(fd_, [this] { accept_some(); });
}

void tcp_acceptor::accept_some()
{
    for (int i = 0; i < max_accepts_per_event && !is_stopped(); ++i)
    {
        socket_address from;
        from.size = sizeof from.storage;
        const int fd = accept4(fd_,
                               reinterpret_cast<sockaddr*>(&from.storage),
                               &from.size,
                               SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
        {
            pause_if_exhausted(errno);
            return;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        on_connection_(fd, from);
    }
}

void tcp_acceptor::pause_if_exhausted(int ec)
{
    if (ec == EMFILE || ec == ENFILE || ec == ENOBUFS || ec == ENOMEM)
    {
        read_watch_.reset();
        pause_timer_ = loop_.after(accept_pause, [this] { watch(); });
    }
}

} // namespace camphorrock
