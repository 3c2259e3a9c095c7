#pragma once

// Closes TCP connections without losing what was sent on them last.
//
//     lingering_sockets closing(loop, seconds(10));
//     closing.add(fd); // after the last answer was sent
//
// close() answers bytes that arrive later with a reset, and the operating system then
// discards what it has not delivered yet. A client that sends requests without waiting
// for earlier answers would lose these answers. So the sending side is shut down first,
// and what still arrives is read and discarded until the other side closes too.
//
// Cost: a descriptor and a watch for each connection, no memory for what arrives.

#include "net/event_loop.hpp"

#include <cstddef>
#include <unordered_map>

namespace camphorrock
{

class lingering_sockets
{
public:
    // A connection whose other side does not close is closed after `time_limit`. `loop`
    // must outlive the sockets.
    lingering_sockets(event_loop& loop, duration time_limit);

    // Closes the connections that are left at once.
    ~lingering_sockets();
    lingering_sockets(const lingering_sockets&) = delete;
    lingering_sockets& operator=(const lingering_sockets&) = delete;

    // Takes ownership of the descriptor of a connection, which must be non-blocking.
    void add(int fd);

    // Connections that are not closed yet.
    std::size_t size() const
    {
        return sockets_.size();
    }

private:
    struct entry
    {
        watch_handle read_watch;
        timer_handle time_limit;
    };

    void discard_input(int fd);
    void close(int fd);

    event_loop& loop_;
    duration time_limit_;
    std::unordered_map<int, entry> sockets_; // by descriptor
};

} // namespace camphorrock
