#pragma once

// What a once_gate asks of its program, and what it answers callers.

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

// A request that waits for its answer. Chosen by the program, never reused.
struct waiter_id
{
    std::uint64_t value = 0;

    auto operator<=>(const waiter_id&) const = default;
};

// A request that may be sent to a server once. Never reused by one gate.
struct run_id
{
    std::uint64_t value = 0;

    auto operator<=>(const run_id&) const = default;
};

// Why a caller is answered as it is.
enum class once_reason
{
    finished,          // the run ended: see the outcome
    not_scheduled,     // this router does not schedule the key, or not yet
    different_request, // the id was used for another method, path or body
    invalid_id,        // the id or the caller's name is too long
    store_unavailable, // the id cannot be recorded now
    over_budget,       // too many ids are remembered already
    deadline,          // the caller's time is over
    unresolved,        // an earlier scheduler admitted it and left no outcome
    expired,           // the id was used longer ago than its outcome is kept
    answer_not_kept,   // it ran with this status; the answer was too large to keep
};

std::string_view name_of(once_reason value);

// Creates journal/SHARD/<this router>/number. Answer: on_append.
struct append_action
{
    std::uint64_t number = 0;
    journal_batch batch;
};

// Reads journal/SHARD/<this router>/number. Answer: on_batch_read.
struct read_batch_action
{
    std::uint64_t number = 0;
};

// Reads all batches below journal/SHARD/. Answer: on_loaded.
struct load_action
{
};

// Creates journal/SHARD/router/number. Answer: on_fence.
struct fence_action
{
    instance_id router;
    std::uint64_t number = 0;
    journal_batch batch;
};

// Sends the request of this waiter to the server, once. Answer: on_finished.
struct run_action
{
    run_id run;
    waiter_id waiter;
    once_key key;
    epoch since;
};

// The final answer to a waiter.
struct answer_action
{
    waiter_id waiter;
    once_result result;
    once_reason reason = once_reason::finished;
    duration retry_after{}; // for refusals that a retry may overcome
};

// The range is released: all that was admitted has ended, and the journal says so.
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
