#include "net/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace camphorrock
{
namespace
{

void set_option(int fd, int level, int name, int value)
{
    setsockopt(fd, level, name, &value, sizeof value);
}

} // namespace

// Keepalive sends the first of two probes after a third of the timeout without traffic,
// and closes the connection after two more thirds without a reply. TCP_USER_TIMEOUT
// applies the timeout to sent data that is not acknowledged.
void set_socket_options(int fd, const http_client_options& client)
{
    constexpr int probes = 2;
    if (client.ack_timeout > duration::zero())
    {
        const auto limit = std::chrono::ceil<milliseconds>(client.ack_timeout);
        const auto third = std::chrono::ceil<seconds>(client.ack_timeout / (probes + 1));
        set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
        set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(third.count()));
        set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(third.count()));
        set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, probes);
        set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
    }
    if (client.resets_on_close)
    {
        const linger zero_linger{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
    }
}

void deliver_behind_close(int fd)
{
    const linger no_linger{0, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
}

} // namespace camphorrock
