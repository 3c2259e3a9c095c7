#include "app/endpoint_text.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace camphorrock
{
namespace
{

constexpr unsigned max_port = 65535;

bool is_port(const std::string& text)
{
    unsigned port = 0;
    const char* end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data(), end, port);
    return ec == std::errc() && rest == end && port <= max_port;
}

bool is_address(int family, const std::string& text)
{
    unsigned char buf[sizeof(in6_addr)];
    return inet_pton(family, text.c_str(), buf) == 1;
}

} // namespace

bool is_endpoint_text(const std::string& text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || !is_port(text.substr(colon + 1)))
    {
        return false;
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        return is_address(AF_INET6, host.substr(1, host.size() - 2));
    }
    return is_address(AF_INET, host);
}

} // namespace camphorrock
