#include "net/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{

std::shared_ptr<memory_budget> memory_budget::create(event_loop& loop,
                                                     std::size_t limit_bytes)
{
    return std::shared_ptr<memory_budget>(new memory_budget(loop, limit_bytes));
}

void memory_budget::add(std::size_t n)
{
    used_bytes_ += n;
    if (used_bytes_ <= limit_bytes_ || is_eviction_posted_)
    {
        return;
    }
    is_eviction_posted_ = true;
    loop_.post(
        [weak = weak_from_this()]
        {
            if (const std::shared_ptr<memory_budget> self = weak.lock())
            {
                self->is_eviction_posted_ = false;
                self->evict();
            }
        });
}

void memory_budget::evict()
{
    while (used_bytes_ > limit_bytes_)
    {
        memory_claim* largest = largest_evictable();
        if (largest == nullptr || largest->bytes_ < min_evicted_bytes)
        {
            return;
        }
        evictable_.erase(largest);
        // The callback may destroy the claim.
        const memory_claim::evict_callback on_evict =
            std::exchange(largest->on_evict_, nullptr);
        on_evict();
    }
}

memory_claim* memory_budget::largest_evictable() const
{
    const auto found = std::max_element(evictable_.begin(),
                                        evictable_.end(),
                                        [](const memory_claim* a, const memory_claim* b)
                                        { return a->bytes_ < b->bytes_; });
    return found == evictable_.end() ? nullptr : *found;
}

memory_claim::memory_claim(std::shared_ptr<memory_budget> budget, evict_callback on_evict)
    : budget_(std::move(budget)), on_evict_(std::move(on_evict))
{
    if (budget_ && on_evict_)
    {
        budget_->evictable_.insert(this);
    }
}

memory_claim::~memory_claim()
{
    if (budget_)
    {
        budget_->used_bytes_ -= bytes_;
        budget_->evictable_.erase(this);
    }
}

void memory_claim::add(std::size_t n)
{
    if (budget_)
    {
        bytes_ += n;
        budget_->add(n);
    }
}

bool memory_claim::try_add(std::size_t n)
{
    if (!budget_)
    {
        return true;
    }
    const bool has_room = budget_->used_bytes_ <= budget_->limit_bytes_ &&
                          n <= budget_->limit_bytes_ - budget_->used_bytes_;
    if (has_room)
    {
        add(n);
    }
    return has_room;
}

void memory_claim::set(std::size_t n)
{
    if (!budget_)
    {
        return;
    }
    budget_->used_bytes_ -= bytes_;
    bytes_ = 0;
    add(n);
}

} // namespace camphorrock
