#pragma once

// Reports when the other side of a connection closes it or its sending side, even while
// nothing reads from the connection. All connections of a server share one edge-triggered
// epoll set, so unread bytes cause no wake-ups.

#include "core/base/result.hpp"
#include "net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace camphorrock
{

class hangup_watch
{
public:
    // `on_hangup` receives the id under which the connection was added.
    static result<std::unique_ptr<hangup_watch>>
    create(event_loop& loop, std::function<void(std::uint64_t)> on_hangup);

    hangup_watch(const hangup_watch&) = delete;
    hangup_watch& operator=(const hangup_watch&) = delete;
    ~hangup_watch();

    // Watches `fd` until it is closed. An id must not be used twice.
    void add(int fd, std::uint64_t connection_id);

private:
    hangup_watch(int epoll_fd, std::function<void(std::uint64_t)> on_hangup);
    void read_events();

    int epoll_fd_;
    std::function<void(std::uint64_t)> on_hangup_;
    watch_handle read_watch_;
};

} // namespace camphorrock
