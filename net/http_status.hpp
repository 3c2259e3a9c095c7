#pragma once

// The HTTP status codes that the programs send and look for (RFC 9110).

namespace camphorrock::http_status
{

constexpr int ok = 200;
constexpr int accepted = 202;
constexpr int no_content = 204;
constexpr int not_modified = 304;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int request_timeout = 408;
constexpr int conflict = 409;
constexpr int gone = 410;
constexpr int precondition_failed = 412;
constexpr int content_too_large = 413;
constexpr int misdirected = 421;
constexpr int too_many_requests = 429;
constexpr int headers_too_large = 431;
constexpr int server_error = 500;
constexpr int not_implemented = 501;
constexpr int unavailable = 503;

} // namespace camphorrock::http_status
