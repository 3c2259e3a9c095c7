#pragma once

// A whole HTTP/1.1 request or answer, as the programs pass them between libmicrohttpd,
// libcurl and their own logic. Bodies are whole, not streamed, and the server and the
// client both limit the size that they accept. Streamed answers are passed in pieces by
// http_responder and http_client::stream().

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorrock
{

class memory_claim;

struct http_header
{
    std::string name;
    std::string value;
};

// Headers in the order in which they came. Names compare without regard to case.
class http_headers
{
public:
    // Adds a header, even if one of that name is present.
    void add(std::string name, std::string value);

    // Replaces all headers of that name with one.
    void set(std::string_view name, std::string value);

    // Removes all headers of that name.
    void remove(std::string_view name);

    // Removes the headers that concern one connection only: Connection, those that it
    // names, and the others of RFC 9110, section 7.6.1.
    void remove_connection_headers();

    // The value of the first header of that name. O(number of headers).
    std::optional<std::string_view> find(std::string_view name) const;

    // The values of all headers of that name, in their order. O(number of headers).
    std::vector<std::string_view> find_all(std::string_view name) const;

    // The value of the fields of that name if they all have the same one; empty without
    // such a field, and if their values differ.
    std::optional<std::string_view> find_unambiguous(std::string_view name) const;

    const std::vector<http_header>& all() const
    {
        return headers_;
    }

private:
    std::vector<http_header> headers_;
};

struct http_request
{
    std::string method; // "GET", "POST", ...
    std::string target; // path and query as sent, still percent-encoded: "/a/b?c=d"
    http_headers headers;
    std::string body;
    // The body instead, if copies of the request share it; `body` is empty then.
    std::shared_ptr<const std::string> shared_body{};
    // What the body takes of a memory budget, until the last copy is gone. May be null.
    std::shared_ptr<const memory_claim> body_memory{};

    const std::string& content() const
    {
        return shared_body ? *shared_body : body;
    }

    // From now on, copies of the request share its body.
    void share_body()
    {
        shared_body = std::make_shared<const std::string>(std::exchange(body, {}));
    }
};

struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;
};

} // namespace camphorrock
