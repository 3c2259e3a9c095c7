#pragma once

// Bounds the memory that a program's servers and clients hold together for messages:
// bodies of requests, answers that arrive, answers that callers have not read yet.
//
//     auto budget = memory_budget::create(loop, 130 << 20);
//     memory_claim claim(budget, [&] { end_exchange(); });
//     claim.add(n);                     // bytes that arrived
//     if (!other.try_add(length)) ...   // refuse what is not needed now
//
// What can be refused is: a claim of try_add() never exceeds the limit. What arrives
// unasked is counted by add(), and if the limit is exceeded, the holders of the largest
// claims are told to give up, one after the other, until it is kept. So a message
// without end costs no other one its answer.
//
// Invariant: after each callback of the loop, the limit is exceeded by claims below
// `min_evicted_bytes` and those that cannot be given up at most.
//
// Cost: one entry of a set for each claim with a callback; giving up one claim takes a
// pass over these.

#include "net/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_set>

namespace camphorrock
{

class memory_claim;

class memory_budget : public std::enable_shared_from_this<memory_budget>
{
public:
    // Smaller claims are never given up: that would end many for little memory.
    static constexpr std::size_t min_evicted_bytes = std::size_t{256} * 1024;

    // `loop` must outlive the budget and all its claims.
    static std::shared_ptr<memory_budget> create(event_loop& loop,
                                                 std::size_t limit_bytes);

    std::size_t limit_bytes() const
    {
        return limit_bytes_;
    }

    // The sum of all claims.
    std::size_t used_bytes() const
    {
        return used_bytes_;
    }

private:
    friend class memory_claim;

    memory_budget(event_loop& loop, std::size_t limit_bytes)
        : loop_(loop), limit_bytes_(limit_bytes)
    {
    }

    void add(std::size_t n);
    void evict();
    memory_claim* largest_evictable() const;

    event_loop& loop_;
    std::size_t limit_bytes_;
    std::size_t used_bytes_ = 0;
    std::unordered_set<memory_claim*> evictable_;
    bool is_eviction_posted_ = false;
};

// A part of a budget, given back when it is destroyed. Without a budget it counts
// nothing.
class memory_claim
{
public:
    using evict_callback = std::function<void()>;

    // `on_evict` is called at most once, on the loop, to give the claim up: it destroys
    // or clears it. Empty: the claim is never given up.
    explicit memory_claim(std::shared_ptr<memory_budget> budget,
                          evict_callback on_evict = {});
    ~memory_claim();
    memory_claim(const memory_claim&) = delete;
    memory_claim& operator=(const memory_claim&) = delete;

    void add(std::size_t n);

    // Returns false, and adds nothing, if the limit would be exceeded.
    bool try_add(std::size_t n);

    // Makes the claim `n` bytes large, as add() does.
    void set(std::size_t n);

    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    friend class memory_budget;

    std::shared_ptr<memory_budget> budget_;
    evict_callback on_evict_;
    std::size_t bytes_ = 0;
};

} // namespace camphorrock
