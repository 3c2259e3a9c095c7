#pragma once

// Serializes requests as HTTP/1.1.

#include "core/base/names.hpp"
#include "net/http_message.hpp"

#include <string>
#include <string_view>

namespace camphorrock
{

// True if the request can be written as exactly one request: no line break or zero byte
// in its method, target or headers, and no empty method, target or header name, nor one
// with a space.
bool is_sendable(const http_request& request);

// True for headers that a client writes itself or that are hop-by-hop; not copied.
bool is_managed_header(std::string_view name);

// True if the request states the length of its body: it has one, or its method has one
// by its meaning (POST, PUT, PATCH). Never for HEAD, which is sent without its body.
bool states_length(const http_request& request);

// The request's head, up to the blank line before the body. `to` is the host, unless the
// request names one. The request must be sendable.
std::string make_request_head(const http_request& request, const endpoint& to);

} // namespace camphorrock
