#include "net/socket_address.hpp"

#include "core/base/number_text.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{
namespace
{

constexpr int listen_backlog = 1024;

std::optional<socket_address> make_ipv4(const std::string& host, std::uint16_t port)
{
    socket_address made;
    auto* at = reinterpret_cast<sockaddr_in*>(&made.storage);
    at->sin_family = AF_INET;
    at->sin_port = htons(port);
    made.size = sizeof(sockaddr_in);
    if (inet_pton(AF_INET, host.c_str(), &at->sin_addr) != 1)
    {
        return std::nullopt;
    }
    return made;
}

std::optional<socket_address> make_ipv6(const std::string& host, std::uint16_t port)
{
    socket_address made;
    auto* at = reinterpret_cast<sockaddr_in6*>(&made.storage);
    at->sin6_family = AF_INET6;
    at->sin6_port = htons(port);
    made.size = sizeof(sockaddr_in6);
    if (inet_pton(AF_INET6, host.c_str(), &at->sin6_addr) != 1)
    {
        return std::nullopt;
    }
    return made;
}

std::optional<socket_address> make_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
    {
        return std::nullopt;
    }
    const std::optional<std::uint16_t> port =
        parse_number<std::uint16_t>(std::string_view(text).substr(colon + 1));
    if (!port)
    {
        return std::nullopt;
    }
    const std::string host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']')
    {
        return make_ipv6(host.substr(1, host.size() - 2), *port);
    }
    return make_ipv4(host, *port);
}

int open_listening(const socket_address& at)
{
    const int fd =
        socket(at.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
    {
        return -1;
    }
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, at.raw(), at.size) != 0 || listen(fd, listen_backlog) != 0)
    {
        const int ec = errno;
        close(fd);
        errno = ec;
        return -1;
    }
    return fd;
}

} // namespace

result<socket_address> parse_address(const endpoint& text)
{
    std::optional<socket_address> made = make_address(text.str());
    if (!made)
    {
        return fail(error_code::invalid_argument,
                    "'" + text.str() + "' is not of the form IP:port");
    }
    return *made;
}

bool is_connectable(const endpoint& text)
{
    const std::optional<socket_address> made = make_address(text.str());
    // The port lies at the same place for both families.
    return made && reinterpret_cast<const sockaddr_in*>(&made->storage)->sin_port != 0;
}

endpoint bound_endpoint(int fd)
{
    sockaddr_storage at{};
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    char buf[INET6_ADDRSTRLEN] = {};
    if (at.ss_family == AF_INET6)
    {
        const auto* six = reinterpret_cast<const sockaddr_in6*>(&at);
        inet_ntop(AF_INET6, &six->sin6_addr, buf, sizeof buf);
        return endpoint("[" + std::string(buf) +
                        "]:" + std::to_string(ntohs(six->sin6_port)));
    }
    const auto* four = reinterpret_cast<const sockaddr_in*>(&at);
    inet_ntop(AF_INET, &four->sin_addr, buf, sizeof buf);
    return endpoint(std::string(buf) + ":" + std::to_string(ntohs(four->sin_port)));
}

int local_port_of(int fd)
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    {
        return 0;
    }
    return address.ss_family == AF_INET6
               ? ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port)
               : ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

result<int> listen_at(const endpoint& address)
{
    BOOST_LEAF_AUTO(at, parse_address(address));
    const int fd = open_listening(at);
    if (fd < 0)
    {
        return fail(error_code::io,
                    "cannot listen at " + address.str() + ": " + std::strerror(errno));
    }
    return fd;
}

} // namespace camphorrock
