#pragma once

// The slots of a fake server, and the FIFO queue of requests that wait for one.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace camphorrock
{

// Identifies a request. The caller chooses the value.
struct slot_ticket
{
    std::uint64_t value = 0;

    auto operator<=>(const slot_ticket&) const = default;
};

enum class slot_admission
{
    run,    // the request has a slot: run it now
    queued, // a later call of take_next() returns it
    full,   // slots and queue are full: refuse it
};

class slot_queue
{
public:
    slot_queue(std::size_t slots, std::size_t max_queued)
        : slots_(slots), max_queued_(max_queued)
    {
    }

    slot_admission admit(slot_ticket ticket);

    // Frees a slot after its run has ended.
    void release();

    // Gives a free slot to the first request in the queue and removes it from the queue.
    // Returns nullopt if no slot is free or the queue is empty.
    std::optional<slot_ticket> take_next();

    // Removes a request from the queue. Returns false if it is not queued. O(queue
    // length).
    bool remove(slot_ticket ticket);

    // The number of slots in use.
    std::size_t busy() const
    {
        return busy_;
    }

    // The length of the queue.
    std::size_t queued() const
    {
        return queue_.size();
    }

private:
    std::size_t slots_;
    std::size_t max_queued_;
    std::size_t busy_ = 0;
    std::deque<slot_ticket> queue_;
};

} // namespace camphorrock
