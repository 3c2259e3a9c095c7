#pragma once

// One relayed connection: two sockets, and the bytes in flight in each direction.

#include "fakes/relay/byte_queue.hpp"
#include "fakes/relay/relay_fault.hpp"
#include "fakes/relay/tcp_socket.hpp"
#include "net/event_loop.hpp"

#include <functional>

namespace camphorrock
{

class relay_link
{
public:
    // `fault` is read whenever bytes move. `on_closed` is called once, after both streams
    // have ended or a socket has failed; it may destroy the link. `loop` and `fault` must
    // outlive the link.
    relay_link(event_loop& loop,
               const relay_fault& fault,
               tcp_socket caller,
               tcp_socket target,
               std::function<void()> on_closed);

    // Discards all bytes in this direction, queued ones included, from now on.
    void silence(relay_direction direction);

    // Writes the bytes that are due. Must be called when the fault has changed.
    void pump();

    // Makes the link reset both connections when it is destroyed.
    void reset_on_close();

private:
    struct side
    {
        tcp_socket socket;
        byte_queue queue; // bytes read from `socket`, to be written to the other side
        watch_handle read_watch; // empty: `socket` is not being read
    };

    void update_read_watch(side& from);
    void read_from(side& from);
    bool write_to(side& to, byte_queue& queue);
    void schedule_pump();
    void close();

    event_loop& loop_;
    const relay_fault& fault_;
    side caller_;
    side target_;
    std::function<void()> on_closed_;
    timer_handle pump_timer_;
    watch_handle close_timer_;
    bool is_silenced_ = false;
    bool is_write_blocked_ = false;
};

} // namespace camphorrock
