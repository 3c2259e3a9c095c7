#include "net/peer_closed.hpp"

#include <poll.h>

namespace camphorrock
{

bool has_peer_closed(int fd)
{
    constexpr short closed = POLLRDHUP | POLLHUP | POLLERR;
    pollfd it{fd, POLLRDHUP, 0};
    return poll(&it, 1, 0) > 0 && (it.revents & closed) != 0;
}

} // namespace camphorrock
