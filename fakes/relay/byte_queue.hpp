#pragma once

// The bytes in flight in one direction of a relayed connection, and the effect of a fault
// on them. The queue does no I/O; the caller reads and writes the sockets.
//
// Invariant: bytes leave in the order in which they arrived. Only the first chunk is ever
// ready, so a chunk with a shorter delay waits for the chunks before it.

#include "core/base/time.hpp"
#include "fakes/relay/relay_fault.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

class byte_queue
{
public:
    // `direction` is to_target or to_caller.
    explicit byte_queue(relay_direction direction) : direction_(direction) {}

    // Discards the queued bytes and all that are pushed from now on.
    void silence();

    // Queues bytes that were read; they are ready after the delay of the fault, if any.
    void push(std::string bytes, const relay_fault& fault, time_point now);

    // Queues the end of the stream behind the last byte.
    void push_end(const relay_fault& fault, time_point now);

    // Returns the bytes to write next; empty if none are due. Valid until the next call
    // that changes the queue.
    std::string_view ready_bytes(const relay_fault& fault, time_point now) const;

    // Removes the first `n` bytes of ready_bytes(), which have been written.
    void consume(std::size_t n);

    // Removes the end of the stream and returns true, if it is next and due.
    bool pop_end(const relay_fault& fault, time_point now);

    // Returns when ready_bytes() or pop_end() has a result, or nullopt if that depends on
    // a further push or a change of the fault.
    std::optional<time_point> next_due(const relay_fault& fault) const;

    // Returns true if the sender must not be read until bytes have been written.
    bool is_full() const;

    // Returns true after push_end(): the sender need not be read any more.
    bool has_received_end() const
    {
        return has_received_end_;
    }

    // Returns true after pop_end() has returned true.
    bool is_end_popped() const
    {
        return is_end_popped_;
    }

private:
    struct chunk
    {
        std::string bytes; // empty: the end of the stream
        time_point due;
    };

    bool is_stalled(const relay_fault& fault) const;
    time_point due_time(const relay_fault& fault, time_point now) const;

    relay_direction direction_;
    std::deque<chunk> chunks_;
    std::size_t buffered_bytes_ = 0;
    bool is_silenced_ = false;
    bool has_received_end_ = false;
    bool is_end_popped_ = false;
};

} // namespace camphorrock
