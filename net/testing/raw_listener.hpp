#pragma once

// A server as raw bytes: it accepts connections, and the test writes their answers.

#include "net/testing/raw_peer.hpp"

#include <memory>

namespace camphorrock::testing
{

class raw_listener
{
public:
    raw_listener() : fd_(listen_at(endpoint("127.0.0.1:0")).value()) {}

    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    ~raw_listener()
    {
        ::close(fd_);
    }

    endpoint bound() const
    {
        return bound_endpoint(fd_);
    }

    // Returns null if no connection is waiting.
    std::unique_ptr<raw_peer> accept()
    {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        return fd < 0 ? nullptr : std::make_unique<raw_peer>(fd);
    }

private:
    int fd_;
};

} // namespace camphorrock::testing
