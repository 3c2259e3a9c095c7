#pragma once

// The slots of a stand-in server and the queue before them, first in, first out.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace camphorrock
{

// Names a request in the queue.
struct slot_ticket
{
    std::uint64_t value = 0;

    auto operator<=>(const slot_ticket&) const = default;
};

enum class slot_admission
{
    run,    // a slot is taken: begin now
    queued, // next() names it later
    full,   // refuse it
};

class slot_queue
{
public:
    slot_queue(std::size_t slots, std::size_t max_queued)
        : slots_(slots), max_queued_(max_queued)
    {
    }

    slot_admission admit(slot_ticket ticket);

    // Frees the slot of a run that ended.
    void release();

    // Takes a free slot for the first in the queue; none where there is no slot or queue.
    std::optional<slot_ticket> next();

    // Takes a request out of the queue; false where it is not in it. O(queue).
    bool remove(slot_ticket ticket);

    std::size_t busy() const
    {
        return busy_;
    }

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
