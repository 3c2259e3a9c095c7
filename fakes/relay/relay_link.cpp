#include "fakes/relay/relay_link.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace camphorrock
{
namespace
{

// Delay before a write to a full socket is retried; also the shortest wait for due bytes.
constexpr duration write_retry = milliseconds(1);

} // namespace

relay_link::relay_link(event_loop& loop,
                       const relay_fault& fault,
                       tcp_socket caller,
                       tcp_socket target,
                       std::function<void()> on_closed)
    : loop_(loop), fault_(fault), caller_{std::move(caller),
                                          byte_queue(relay_direction::to_target),
                                          {}},
      target_{std::move(target), byte_queue(relay_direction::to_caller), {}},
      on_closed_(std::move(on_closed))
{
    update_read_watch(caller_);
    update_read_watch(target_);
}

void relay_link::silence(relay_direction direction)
{
    is_silenced_ = true;
    if (direction != relay_direction::to_caller)
    {
        caller_.queue.silence();
    }
    if (direction != relay_direction::to_target)
    {
        target_.queue.silence();
    }
}

void relay_link::pump()
{
    is_write_blocked_ = false;
    bool is_usable = write_to(target_, caller_.queue) && write_to(caller_, target_.queue);
    bool is_done = caller_.queue.is_end_popped() && target_.queue.is_end_popped();
    if (!is_usable || is_done)
    {
        close();
        return;
    }
    update_read_watch(caller_);
    update_read_watch(target_);
    schedule_pump();
}

void relay_link::reset_on_close()
{
    caller_.socket.reset_on_close();
    target_.socket.reset_on_close();
}

void relay_link::update_read_watch(side& from)
{
    bool is_watched = static_cast<bool>(from.read_watch);
    bool is_wanted = !from.queue.is_full() && !from.queue.has_received_end();
    if (is_wanted && !is_watched)
    {
        from.read_watch =
            loop_.on_readable(from.socket.fd(), [this, &from] { read_from(from); });
    }
    else if (!is_wanted && is_watched)
    {
        from.read_watch.reset();
    }
}

void relay_link::read_from(side& from)
{
    socket_read got = from.socket.read();
    if (got.state == socket_state::failed && !is_silenced_)
    {
        reset_on_close();
        close();
        return;
    }
    from.queue.push(std::move(got.bytes), fault_, loop_.now());
    if (got.state != socket_state::open)
    {
        from.queue.push_end(fault_, loop_.now());
    }
    pump();
}

// Returns false if the socket has failed, so that the link must be closed.
bool relay_link::write_to(side& to, byte_queue& queue)
{
    time_point now = loop_.now();
    for (;;)
    {
        std::string_view bytes = queue.ready_bytes(fault_, now);
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
        queue.consume(done.count);
    }
    if (queue.pop_end(fault_, now))
    {
        to.socket.shutdown_write();
    }
    return true;
}

void relay_link::schedule_pump()
{
    std::optional<duration> wait;
    if (is_write_blocked_)
    {
        wait = write_retry;
    }
    for (const side* it : {&caller_, &target_})
    {
        if (std::optional<time_point> due = it->queue.next_due(fault_))
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

// Calls on_closed_ from the event loop, since it may destroy the link.
void relay_link::close()
{
    caller_.read_watch.reset();
    target_.read_watch.reset();
    pump_timer_.reset();
    if (!close_timer_)
    {
        close_timer_ = loop_.after(duration(0), on_closed_);
    }
}

} // namespace camphorrock
