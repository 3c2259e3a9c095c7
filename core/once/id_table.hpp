#pragma once

// The request ids that a gate remembers, with the state of each, within a memory budget.
//
// Lookup by key is O(1). The row of a request that has ended is kept until `kept_until`
// and then moved to the filter of expired ids. sweep() examines a bounded number of rows
// per call, so that no call takes long.

#include "core/base/epoch.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/once/id_filter.hpp"
#include "core/once/once_actions.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace camphorrock
{

enum class id_state
{
    appending,  // admitted by this gate; its entry is not in the journal yet
    running,    // handed to the program to be sent
    finished,   // ended with `result`
    unresolved, // admitted by the routers in `admitted_by`; no journal has its outcome
};

struct id_row
{
    id_state state = id_state::appending;
    std::uint64_t fingerprint = 0;
    epoch since;                          // of the key's partition, when admitted
    run_id run;                           // for `running`
    once_result result;                   // for `finished`
    time_point kept_until;                // for `finished` and `unresolved`
    std::vector<waiter_id> waiters;       // for `appending` and `running`
    std::vector<instance_id> admitted_by; // for `unresolved`
};

struct id_table_options
{
    std::size_t max_memory_bytes = 0;
    std::size_t filter_bytes = 0;
};

class id_table
{
public:
    explicit id_table(id_table_options options)
        : options_(options), expired_ids_(options.filter_bytes)
    {
    }

    // Null if the key is unknown. The pointer is valid until the row is erased.
    id_row* find(const once_key& key);

    // The key must be unknown. Null if another row would exceed the memory budget.
    id_row* insert(const once_key& key);

    void erase(const once_key& key);

    // Marks the row as finished. The payload is dropped if it exceeds the memory budget.
    void finish(id_row& row, time_point kept_until, once_result result);

    // True if the id may have been used and its row has expired. Can be a false positive
    // of the filter.
    bool is_expired(const once_key& key) const
    {
        return expired_ids_.contains(key);
    }

    // Moves rows past their retention to the filter. Examines a bounded number of hash
    // buckets, at most once every few milliseconds: rows are spread over memory, so each
    // access may be a cache miss.
    void sweep(time_point now);

    std::size_t size() const
    {
        return rows_.size();
    }

    std::size_t memory_bytes() const
    {
        return memory_bytes_;
    }

    // Calls `use(key, row)` for every row. `use` must not insert or erase rows.
    template<class Use>
    void for_each(Use&& use)
    {
        for (auto& [key, row] : rows_)
        {
            use(key, row);
        }
    }

private:
    static bool is_retention_over(const id_row& row, time_point now);

    id_table_options options_;
    std::unordered_map<once_key, id_row, once_key_hash> rows_;
    id_filter expired_ids_;
    std::size_t memory_bytes_ = 0;
    std::size_t next_bucket_ = 0; // of rows_, for the next sweep()
    time_point last_sweep_at_;
};

} // namespace camphorrock
