#pragma once

// The implementations of http_client, for tests of what both of them promise:
//
//     const client_kind kind = GENERATE(client_kind::libcurl, client_kind::sockets);
//     const std::unique_ptr<http_client> client = make_client(kind, *loop, options);

#include "net/http_client.hpp"
#include "net/socket_client.hpp"

#include <memory>

namespace camphorrock::testing
{

enum class client_kind
{
    libcurl,
    sockets,
};

inline std::unique_ptr<http_client>
make_client(client_kind kind, event_loop& loop, const http_client_options& options)
{
    return kind == client_kind::libcurl ? http_client::create(loop, options).value()
                                        : socket_client::create(loop, options).value();
}

} // namespace camphorrock::testing
