#pragma once

// The ids that a gate remembers, with what is known of each, within a budget of bytes.
//
// Rows are found by key in O(1). A row whose request has ended is kept until its time
// and then moved to the filter; sweep() looks at a few rows a call, so that no call is
// long.

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
    appending,  // admitted here, and the journal does not say so yet
    running,    // given to the program to send
    finished,   // see `result`
    unresolved, // admitted by the routers in `origins`, which left no outcome
};

struct id_row
{
    id_state state = id_state::appending;
    std::uint64_t fingerprint = 0;
    epoch since;
    run_id run;                       // for `running`
    once_result result;               // for `finished`
    time_point kept_until;            // for `finished` and `unresolved`
    std::vector<waiter_id> waiters;   // for `appending` and `running`
    std::vector<instance_id> origins; // for `unresolved`
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
        : options_(options), expired_(options.filter_bytes)
    {
    }

    // Null where the key is not known. Valid until the row is erased.
    id_row* find(const once_key& key);

    // The key must not be known. Null where the budget does not allow another row.
    id_row* insert(const once_key& key);

    void erase(const once_key& key);

    // Ends the row. The payload is kept only if it fits the budget.
    void finish(id_row& row, time_point kept_until, once_result result);

    // True where the id may have been used before and is remembered by the filter only.
    bool is_expired(const once_key& key) const
    {
        return expired_.contains(key);
    }

    // Moves rows past their retention to the filter. Looks at a bounded number of rows,
    // and only every few milliseconds: rows are spread over memory, and each look may be
    // a cache miss.
    void sweep(time_point now);

    std::size_t size() const
    {
        return rows_.size();
    }

    std::size_t memory_bytes() const
    {
        return bytes_;
    }

    // Calls `use(key, row)` for every row; `use` must not insert or erase.
    template<class Use>
    void for_each(Use&& use)
    {
        for (auto& [key, row] : rows_)
        {
            use(key, row);
        }
    }

private:
    static bool is_due(const id_row& row, time_point now);

    id_table_options options_;
    std::unordered_map<once_key, id_row, once_key_hash> rows_;
    id_filter expired_;
    std::size_t bytes_ = 0;
    std::size_t next_bucket_ = 0;
    time_point last_sweep_;
};

} // namespace camphorrock
