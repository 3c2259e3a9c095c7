#include "net/lingering_sockets.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace camphorrock
{
namespace
{

constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;

} // namespace

lingering_sockets::lingering_sockets(event_loop& loop, duration time_limit)
    : loop_(loop), time_limit_(time_limit)
{
}

lingering_sockets::~lingering_sockets()
{
    for (const auto& [fd, it] : sockets_)
    {
        ::close(fd);
    }
}

void lingering_sockets::add(int fd)
{
    if (shutdown(fd, SHUT_WR) != 0)
    {
        ::close(fd); // the other side has reset the connection
        return;
    }
    entry& made = sockets_[fd];
    made.read_watch = loop_.on_readable(fd, [this, fd] { discard_input(fd); });
    made.time_limit = loop_.after(time_limit_, [this, fd] { close(fd); });
}

void lingering_sockets::discard_input(int fd)
{
    char buf[read_buffer_bytes];
    const ssize_t n = recv(fd, buf, sizeof buf, 0);
    const bool may_continue = n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
    if (!may_continue)
    {
        close(fd);
    }
}

void lingering_sockets::close(int fd)
{
    sockets_.erase(fd);
    ::close(fd);
}

} // namespace camphorrock
