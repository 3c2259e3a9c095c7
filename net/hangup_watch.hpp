#pragma once

// Tells when the other side of a connection closes it, also while nobody reads from the
// connection. One edge-triggered epoll set for all connections of a server, so that bytes
// that wait to be read cause no wake-up.

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
    // `on_hangup` gets the number under which the connection was added.
    static result<std::unique_ptr<hangup_watch>>
    create(event_loop& loop, std::function<void(std::uint64_t)> on_hangup);

    hangup_watch(const hangup_watch&) = delete;
    hangup_watch& operator=(const hangup_watch&) = delete;
    ~hangup_watch();

    // Watches until the descriptor is closed. A number must not be used twice.
    void add(int fd, std::uint64_t number);

private:
    hangup_watch(int set, std::function<void(std::uint64_t)> on_hangup);
    void read_events();

    int set_;
    std::function<void(std::uint64_t)> on_hangup_;
    watch_handle readable_;
};

} // namespace camphorrock
