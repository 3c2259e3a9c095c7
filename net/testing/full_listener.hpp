#pragma once

// A server at which connections cannot be opened.

#include "core/base/names.hpp"
#include "testing/test_headers.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace camphorrock::testing
{

// A listening socket whose backlog is full: connecting to it hangs.
struct full_listener
{
    full_listener() : fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* raw = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(bind(fd, raw, size) == 0);
        REQUIRE(listen(fd, 0) == 0);
        REQUIRE(getsockname(fd, raw, &size) == 0);
        bound = endpoint("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
        for (int& it : waiting)
        {
            it = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            static_cast<void>(connect(it, raw, size));
        }
    }

    ~full_listener()
    {
        ::close(fd);
        for (int it : waiting)
        {
            ::close(it);
        }
    }

    int fd;
    int waiting[4];
    endpoint bound;
};

} // namespace camphorrock::testing
