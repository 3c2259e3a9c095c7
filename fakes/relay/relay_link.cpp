#include "fakes/relay/relay_link.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace camphorrock
{
namespace
{

// How soon a full socket is written to again.
constexpr duration write_retry = milliseconds(1);

} // namespace

relay_link::relay_link(event_loop& loop,
                       const relay_fault& fault,
                       tcp_socket caller,
                       tcp_socket target,
                       std::function<void()> closed)
    : loop_(loop), fault_(fault), caller_{std::move(caller),
                                          byte_lane(relay_direction::to_target),
                                          {}},
      target_{std::move(target), byte_lane(relay_direction::to_caller), {}},
      closed_(std::move(closed))
{
    watch(caller_);
    watch(target_);
}

void relay_link::silence(relay_direction direction)
{
    is_silent_ = true;
    if (direction != relay_direction::to_caller)
    {
        caller_.lane.silence();
    }
    if (direction != relay_direction::to_target)
    {
        target_.lane.silence();
    }
}

void relay_link::pump()
{
    is_write_blocked_ = false;
    bool is_usable = write_to(target_, caller_.lane) && write_to(caller_, target_.lane);
    bool is_done = caller_.lane.is_ended() && target_.lane.is_ended();
    if (!is_usable || is_done)
    {
        close();
        return;
    }
    watch(caller_);
    watch(target_);
    plan_pump();
}

void relay_link::reset_on_close()
{
    caller_.socket.reset_on_close();
    target_.socket.reset_on_close();
}

void relay_link::watch(side& from)
{
    bool is_watched = static_cast<bool>(from.readable);
    bool is_wanted = !from.lane.is_full() && !from.lane.has_end();
    if (is_wanted && !is_watched)
    {
        from.readable =
            loop_.on_readable(from.socket.fd(), [this, &from] { read_from(from); });
    }
    else if (!is_wanted && is_watched)
    {
        from.readable.reset();
    }
}

void relay_link::read_from(side& from)
{
    socket_read got = from.socket.read();
    if (got.state == socket_state::failed && !is_silent_)
    {
        reset_on_close();
        close();
        return;
    }
    from.lane.push(std::move(got.bytes), fault_, loop_.now());
    if (got.state != socket_state::open)
    {
        from.lane.push_end(fault_, loop_.now());
    }
    pump();
}

// False where the link is of no more use.
bool relay_link::write_to(side& to, byte_lane& lane)
{
    time_point now = loop_.now();
    for (;;)
    {
        std::string_view bytes = lane.ready(fault_, now);
        if (bytes.empty())
        {
            break;
        }
        socket_write done = to.socket.write(bytes);
        if (done.state == socket_state::failed)
        {
            return false;
        }
        if (done.count == 0)
        {
            is_write_blocked_ = true;
            return true;
        }
        lane.written(done.count);
    }
    if (lane.take_end(fault_, now))
    {
        to.socket.end_writing();
    }
    return true;
}

void relay_link::plan_pump()
{
    std::optional<duration> wait;
    if (is_write_blocked_)
    {
        wait = write_retry;
    }
    for (const side* it : {&caller_, &target_})
    {
        if (std::optional<time_point> due = it->lane.next_due(fault_))
        {
            duration left = std::max(*due - loop_.now(), write_retry);
            wait = std::min(wait.value_or(left), left);
        }
    }
    pump_timer_.reset();
    if (wait)
    {
        pump_timer_ = loop_.after(*wait, [this] { pump(); });
    }
}

// Destroys the link outside of its own functions.
void relay_link::close()
{
    caller_.readable.reset();
    target_.readable.reset();
    pump_timer_.reset();
    if (!close_)
    {
        close_ = loop_.after(duration(0), closed_);
    }
}

} // namespace camphorrock
