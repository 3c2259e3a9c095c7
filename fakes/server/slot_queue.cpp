#include "fakes/server/slot_queue.hpp"

#include <algorithm>

namespace camphorrock
{

slot_admission slot_queue::admit(slot_ticket ticket)
{
    if (busy_ < slots_ && queue_.empty())
    {
        ++busy_;
        return slot_admission::run;
    }
    if (queue_.size() >= max_queued_)
    {
        return slot_admission::full;
    }
    queue_.push_back(ticket);
    return slot_admission::queued;
}

void slot_queue::release()
{
    --busy_;
}

std::optional<slot_ticket> slot_queue::take_next()
{
    if (busy_ >= slots_ || queue_.empty())
    {
        return std::nullopt;
    }
    ++busy_;
    slot_ticket ticket = queue_.front();
    queue_.pop_front();
    return ticket;
}

bool slot_queue::remove(slot_ticket ticket)
{
    auto it = std::find(queue_.begin(), queue_.end(), ticket);
    if (it == queue_.end())
    {
        return false;
    }
    queue_.erase(it);
    return true;
}

} // namespace camphorrock
