#pragma once

// The one loop of a program, on libev. Everything a program does runs in a callback of
// its loop, on one thread, so no type here or above needs a lock.
//
//     result<std::unique_ptr<event_loop>> loop = event_loop::create();
//     timer_handle beat = (*loop)->every(milliseconds(250), [&] { send_heartbeats(); });
//     (*loop)->run();
//
// Handles stop their callback when they are destroyed, and must not outlive the loop.

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

    explicit watch_handle(std::shared_ptr<state> held) : held_(std::move(held)) {}

    explicit operator bool() const
    {
        return held_ != nullptr;
    }

    void reset()
    {
        held_.reset();
    }

private:
    std::shared_ptr<state> held_;
};

using timer_handle = watch_handle;

class event_loop
{
public:
    using callback = std::function<void()>;

    // Fails with error_code::io if the operating system gives no loop.
    static result<std::unique_ptr<event_loop>> create();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    // Runs until stop() is called. SIGPIPE is ignored from the first loop on.
    void run();

    // Makes run() return once the current callback has ended.
    void stop();

    // The time of CLOCK_BOOTTIME, read anew on each call, since a callback may run long.
    time_point now() const;

    // Calls once, after `delay`.
    timer_handle after(duration delay, callback what);

    // Calls once, at `when`; as soon as possible where that has passed.
    timer_handle at(time_point when, callback what);

    // Calls again and again, first after one `period`.
    timer_handle every(duration period, callback what);

    // Calls whenever the process receives signal `number`.
    watch_handle on_signal(int number, callback what);

    // Calls whenever the descriptor is readable.
    watch_handle on_readable(int fd, callback what);

    // Calls whenever bytes can be written to the descriptor.
    watch_handle on_writable(int fd, callback what);

    // Calls once, right before the loop next waits for events, after the current
    // callback. For work that must not run inside its cause. Order of calls is kept.
    void post(callback what);

    // The libev loop, for the HTTP client's socket watchers.
    ev_loop* raw();

private:
    struct impl;
    explicit event_loop(std::unique_ptr<impl> parts);
    std::unique_ptr<impl> parts_;
};

} // namespace camphorrock
