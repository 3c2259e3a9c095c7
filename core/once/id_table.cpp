#include "core/once/id_table.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr std::size_t row_overhead =
    64; // bytes of hash table links and allocator headers
constexpr std::size_t buckets_per_sweep = 64;
constexpr duration sweep_interval = milliseconds(10);

std::size_t size_of(const once_key& key)
{
    return sizeof(once_key) + sizeof(id_row) + row_overhead + key.caller.str().size() +
           key.id.str().size();
}

std::size_t size_of(const once_result& result)
{
    return result.payload ? result.payload->size() : 0;
}

} // namespace

id_row* id_table::find(const once_key& key)
{
    auto it = rows_.find(key);
    return it == rows_.end() ? nullptr : &it->second;
}

id_row* id_table::insert(const once_key& key)
{
    if (memory_bytes_ + size_of(key) > options_.max_memory_bytes)
    {
        return nullptr;
    }
    memory_bytes_ += size_of(key);
    return &rows_[key];
}

void id_table::erase(const once_key& key)
{
    auto it = rows_.find(key);
    if (it != rows_.end())
    {
        memory_bytes_ -= size_of(key) + size_of(it->second.result);
        rows_.erase(it);
    }
}

void id_table::finish(id_row& row, time_point kept_until, once_result result)
{
    if (memory_bytes_ + size_of(result) > options_.max_memory_bytes)
    {
        result.payload.reset();
    }
    memory_bytes_ += size_of(result);
    row.state = id_state::finished;
    row.kept_until = kept_until;
    row.result = std::move(result);
}

void id_table::sweep(time_point now)
{
    if (now - last_sweep_at_ < sweep_interval)
    {
        return;
    }
    last_sweep_at_ = now;
    std::vector<once_key> expired;
    std::size_t count = std::min(buckets_per_sweep, rows_.bucket_count());
    for (std::size_t n = 0; n < count; ++n)
    {
        next_bucket_ = (next_bucket_ + 1) % rows_.bucket_count();
        for (auto it = rows_.begin(next_bucket_); it != rows_.end(next_bucket_); ++it)
        {
            if (is_retention_over(it->second, now))
            {
                expired.push_back(it->first);
            }
        }
    }
    for (const once_key& it : expired)
    {
        expired_ids_.insert(it);
        erase(it);
    }
}

bool id_table::is_retention_over(const id_row& row, time_point now)
{
    bool has_ended = row.state == id_state::finished || row.state == id_state::unresolved;
    return has_ended && row.kept_until <= now;
}

} // namespace camphorrock
