#pragma once

// One relayed connection: two sockets and the bytes between them.

#include "fakes/relay/byte_lane.hpp"
#include "fakes/relay/relay_fault.hpp"
#include "fakes/relay/tcp_socket.hpp"
#include "net/event_loop.hpp"

#include <functional>

namespace camphorrock
{

class relay_link
{
public:
    // `fault` is read whenever bytes move. `closed` is called once, when the link is of
    // no more use; it may destroy the link. `loop` and `fault` must outlive the link.
    relay_link(event_loop& loop,
               const relay_fault& fault,
               tcp_socket caller,
               tcp_socket target,
               std::function<void()> closed);

    // Loses all bytes of the fault's direction from now on.
    void silence(relay_direction direction);

    // Moves what is due; called also when the fault has changed.
    void pump();

    // Resets both connections when the link is destroyed.
    void reset_on_close();

private:
    struct side
    {
        tcp_socket socket;
        byte_lane lane; // of the bytes that are read here
        watch_handle readable;
    };

    void watch(side& from);
    void read_from(side& from);
    bool write_to(side& to, byte_lane& lane);
    void plan_pump();
    void close();

    event_loop& loop_;
    const relay_fault& fault_;
    side caller_;
    side target_;
    std::function<void()> closed_;
    timer_handle pump_timer_;
    watch_handle close_;
    bool is_silent_ = false;
    bool is_write_blocked_ = false;
};

} // namespace camphorrock
