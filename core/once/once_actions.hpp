#pragma once

// The actions that a once_gate requests of its program, and its answers to callers.

#include "core/base/epoch.hpp"
#include "core/base/outcome.hpp"
#include "core/base/store_end.hpp"
#include "core/base/time.hpp"
#include "core/once/journal_batch.hpp"

#include <compare>
#include <cstdint>
#include <string_view>
#include <variant>

namespace camphorrock
{

// Identifies a request that waits for its answer. Chosen by the program, never reused.
struct waiter_id
{
    std::uint64_t value = 0;

    auto operator<=>(const waiter_id&) const = default;
};

// Identifies one run: the permission to send a request to a server once. Never reused by
// one gate.
struct run_id
{
    std::uint64_t value = 0;

    auto operator<=>(const run_id&) const = default;
};

// Why a caller gets the answer that it gets.
enum class once_reason
{
    finished,          // the run ended; the result has its outcome
    not_scheduled,     // this router does not schedule the key, or not yet
    different_request, // the id was used for another method, path or body
    invalid_id,        // the id or the caller's name is too long
    store_unavailable, // the id cannot be recorded now
    over_budget,       // the memory budget for remembered ids is used up
    deadline,          // the request's deadline has passed
    unresolved,        // an earlier scheduler admitted it; its outcome is not recorded
    expired,           // the id was used, and the retention of its outcome is over
    answer_not_kept,   // it ran with this status; the answer was too large to keep
};

std::string_view name_of(once_reason value);

// Create the batch journal/SHARD/<this router>/number. Answer: on_append.
struct append_action
{
    std::uint64_t number = 0;
    journal_batch batch;
};

// Read the batch journal/SHARD/<this router>/number. Answer: on_batch_read.
struct read_batch_action
{
    std::uint64_t number = 0;
};

// Read all batches below journal/SHARD/. Answer: on_loaded.
struct load_action
{
};

// Create the batch journal/SHARD/router/number in another router's journal. Answer:
// on_fence.
struct fence_action
{
    instance_id router;
    std::uint64_t number = 0;
    journal_batch batch;
};

// Send the request of this waiter to the server, once. Answer: on_run_finished.
struct run_action
{
    run_id run;
    waiter_id waiter;
    once_key key;
    epoch since;
};

// Give the waiter its final answer.
struct answer_action
{
    waiter_id waiter;
    once_result result;
    once_reason reason = once_reason::finished;
    duration retry_after{}; // suggested before a retry; zero if none is
};

// The range is released: every request that was admitted has ended, and the journal
// records the release if the range had been ready.
struct released_action
{
    hash_range range;
    epoch since;
};

using once_action = std::variant<append_action,
                                 read_batch_action,
                                 load_action,
                                 fence_action,
                                 run_action,
                                 answer_action,
                                 released_action>;

} // namespace camphorrock
