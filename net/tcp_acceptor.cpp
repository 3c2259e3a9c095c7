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

constexpr int accepts_at_once = 64;
constexpr milliseconds accept_pause(100); // where the process has no descriptor left

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
    readable_.reset();
    pause_.reset();
    if (fd_ >= 0)
    {
        close(std::exchange(fd_, -1));
    }
}

void tcp_acceptor::watch()
{
    readable_ = loop_.on_readable(fd_, [this] { accept_some(); });
}

void tcp_acceptor::accept_some()
{
    for (int i = 0; i < accepts_at_once && !is_stopped(); ++i)
    {
        socket_address from;
        from.size = sizeof from.storage;
        const int fd = accept4(fd_,
                               reinterpret_cast<sockaddr*>(&from.storage),
                               &from.size,
                               SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
        {
            pause_after(errno);
            return;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        on_connection_(fd, from);
    }
}

void tcp_acceptor::pause_after(int ec)
{
    if (ec == EMFILE || ec == ENFILE || ec == ENOBUFS || ec == ENOMEM)
    {
        readable_.reset();
        pause_ = loop_.after(accept_pause, [this] { watch(); });
    }
}

} // namespace camphorrock
