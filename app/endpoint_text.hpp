#pragma once

// Checks the text form of addresses that a program listens on or connects to.

#include <string>

namespace camphorrock
{

// True for "IPv4:port" and "[IPv6]:port" with a port of 0 to 65535.
bool is_endpoint_text(const std::string& text);

// True for an IPv4 or IPv6 address.
bool is_ip_text(const std::string& text);

} // namespace camphorrock
