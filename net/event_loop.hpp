#pragma once

// The event loop of a program, on libev. Everything a program does runs in callbacks of
// its one loop, on one thread, so neither net/ nor the code above it needs locks.
//
//     result<std::unique_ptr<event_loop>> loop = event_loop::create();
//     timer_handle heartbeat =
//         (*loop)->every(milliseconds(250), [&] { send_heartbeats(); });
//     (*loop)->run();
//
// Destroying a handle cancels its callback. Handles must not outlive the loop.

#include "core/base/result.hpp"
#include "core/base/time.hpp"

#include <functional>
#include <memory>

struct ev_loop;

namespace camphorrock
{

// Owns one pending callback. Movable; destroying or resetting it cancels the callback. It
// is safe to destroy a handle inside its own callback.
class watch_handle
{
public:
    // The state behind a handle; its destructor stops the watcher.
    struct state
    {
        virtual ~state() = default;
    };

    watch_handle() = default;

    explicit watch_handle(std::shared_ptr<state> watcher) : watcher_(std::move(watcher))
    {
    }

    explicit operator bool() const
    {
        return watcher_ != nullptr;
    }

    void reset()
    {
        watcher_.reset();
    }

private:
    std::shared_ptr<state> watcher_;
};

using timer_handle = watch_handle;

class event_loop
{
public:
    using callback = std::function<void()>;

    // Ignores SIGPIPE in the whole process. Fails with error_code::io if the epoll loop
    // cannot be created.
    static result<std::unique_ptr<event_loop>> create();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    // Runs until stop() is called.
    void run();

    // Makes run() return once the current callback has ended.
    void stop();

    // The time of CLOCK_BOOTTIME, read on each call, since a callback may run long.
    time_point now() const;

    // Calls `fn` once, after `delay`.
    timer_handle after(duration delay, callback fn);

    // Calls `fn` once, at `when`; as soon as possible if that has passed.
    timer_handle at(time_point when, callback fn);

    // Calls `fn` every `period`, for the first time after one `period`.
    timer_handle every(duration period, callback fn);

    // Calls `fn` whenever the process receives signal `number`.
    watch_handle on_signal(int number, callback fn);

    // Calls `fn` whenever the descriptor is readable.
    watch_handle on_readable(int fd, callback fn);

    // Calls `fn` whenever bytes can be written to the descriptor.
    watch_handle on_writable(int fd, callback fn);

    // Calls `fn` once, after the current callback and before the loop next waits for
    // events, in the order of the post() calls. For work that must not run within the
    // call that causes it.
    void post(callback fn);

    // The libev loop, for the HTTP client's socket watchers.
    ev_loop* raw();

private:
    struct impl;
    explicit event_loop(std::unique_ptr<impl> loop_impl);
    std::unique_ptr<impl> impl_;
};

} // namespace camphorrock
