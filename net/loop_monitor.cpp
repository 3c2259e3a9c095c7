#include "net/loop_monitor.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration check_period = milliseconds(250);
constexpr duration min_reported_lateness = milliseconds(100);

} // namespace

loop_monitor::loop_monitor(event_loop& loop, std::function<void(duration)> on_late)
    : loop_(loop), on_late_(std::move(on_late)), checked_at_(loop.now())
{
    timer_ = loop_.every(check_period, [this] { check(); });
}

void loop_monitor::check()
{
    const time_point now = loop_.now();
    const duration late = now - checked_at_ - check_period;
    checked_at_ = now;
    if (late >= min_reported_lateness)
    {
        on_late_(late);
    }
}

} // namespace camphorrock
