#pragma once

// Reports that an event loop is late: its timers fire much after their time. A loop that
// is late has not read what has arrived meanwhile, such as the close of a connection.

#include "core/base/time.hpp"
#include "net/event_loop.hpp"

#include <functional>

namespace camphorrock
{

class loop_monitor
{
public:
    // `on_late` receives by how much a timer was late, at most once a check period, and
    // only if that is long enough to matter for requests. `loop` must outlive the
    // monitor.
    loop_monitor(event_loop& loop, std::function<void(duration)> on_late);

    loop_monitor(const loop_monitor&) = delete;
    loop_monitor& operator=(const loop_monitor&) = delete;

private:
    void check();

    event_loop& loop_;
    std::function<void(duration)> on_late_;
    time_point checked_at_{};
    timer_handle timer_;
};

} // namespace camphorrock
