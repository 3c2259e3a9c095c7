#pragma once

// The bytes on their way in one direction of a relayed connection, and what a fault does
// to them. Pure: the sockets are the caller's.
//
// Invariant: bytes leave in the order in which they came: only the first chunk is ever
// ready, so a chunk with a shorter delay waits for those before it.

#include "core/base/time.hpp"
#include "fakes/relay/relay_fault.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

class byte_lane
{
public:
    // `direction` is to_target or to_caller.
    explicit byte_lane(relay_direction direction) : direction_(direction) {}

    // From now on all bytes are lost, for good.
    void silence();

    void push(std::string bytes, const relay_fault& fault, time_point now);

    // The sender will send no more; passed on behind the last byte.
    void push_end(const relay_fault& fault, time_point now);

    // The bytes to write next; empty where there are none yet.
    std::string_view ready(const relay_fault& fault, time_point now) const;

    // The first `n` bytes of ready() have been written.
    void written(std::size_t n);

    // True once when the end of the stream is due.
    bool take_end(const relay_fault& fault, time_point now);

    // When ready() or take_end() may give something; none: not before an event.
    std::optional<time_point> next_due(const relay_fault& fault) const;

    // The sender should be read no further for now.
    bool is_full() const;

    // The sender sends no more; it need not be read.
    bool has_end() const
    {
        return has_end_;
    }

    // The end of the stream was taken.
    bool is_ended() const
    {
        return is_ended_;
    }

private:
    struct chunk
    {
        std::string bytes; // empty: the end of the stream
        time_point due;
    };

    bool is_held(const relay_fault& fault) const;
    time_point due_of(const relay_fault& fault, time_point now) const;

    relay_direction direction_;
    std::deque<chunk> chunks_;
    std::size_t held_bytes_ = 0;
    bool is_silent_ = false;
    bool has_end_ = false;
    bool is_ended_ = false;
};

} // namespace camphorrock
