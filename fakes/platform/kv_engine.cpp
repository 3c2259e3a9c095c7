#include "fakes/platform/kv_engine.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock::fakes
{
namespace
{

const std::string no_end(1, '\0');

std::uint64_t compared_value(const kv_entry& entry, kv_compare_target target)
{
    switch (target)
    {
    case kv_compare_target::mod_revision:
        return entry.mod_revision;
    case kv_compare_target::create_revision:
        return entry.create_revision;
    case kv_compare_target::version:
        return entry.version;
    }
    return 0;
}

} // namespace

bool kv_range::contains(const std::string& key) const
{
    if (end.empty())
    {
        return key == first;
    }
    return key >= first && (end == no_end || key < end);
}

std::vector<kv_entry> kv_engine::range(const kv_range& keys) const
{
    std::vector<kv_entry> found;
    for (auto it = entries_.lower_bound(keys.first);
         it != entries_.end() && keys.contains(it->first);
         ++it)
    {
        found.push_back(it->second);
    }
    return found;
}

kv_transaction_result kv_engine::run(const kv_transaction& transaction)
{
    kv_transaction_result made;
    made.succeeded =
        std::all_of(transaction.compares.begin(),
                    transaction.compares.end(),
                    [&](const kv_compare& it) { return is_compare_met(it); });
    const std::vector<kv_operation>& chosen =
        made.succeeded ? transaction.on_success : transaction.on_failure;
    made.is_lease_missing = !do_leases_exist(chosen);
    if (!made.is_lease_missing)
    {
        const std::uint64_t next = revision_ + 1;
        for (const kv_operation& it : chosen)
        {
            made.results.push_back(apply(it, next));
        }
    }
    made.revision = revision_;
    return made;
}

std::uint64_t kv_engine::grant_lease(duration time_to_live, time_point now)
{
    const std::uint64_t id = ++last_lease_id_;
    leases_[id] = {time_to_live, now + time_to_live, {}};
    return id;
}

std::optional<duration> kv_engine::keep_alive(std::uint64_t lease, time_point now)
{
    auto it = leases_.find(lease);
    if (it == leases_.end())
    {
        return std::nullopt;
    }
    it->second.expires_at = now + it->second.time_to_live;
    return it->second.time_to_live;
}

bool kv_engine::revoke_lease(std::uint64_t lease)
{
    auto it = leases_.find(lease);
    if (it == leases_.end())
    {
        return false;
    }
    const std::set<std::string> keys = std::move(it->second.keys);
    leases_.erase(it);
    const std::uint64_t next = revision_ + 1;
    for (const std::string& key : keys)
    {
        erase({key, ""}, next);
    }
    return true;
}

void kv_engine::expire_leases(time_point now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, it] : leases_)
    {
        if (it.expires_at <= now)
        {
            expired.push_back(id);
        }
    }
    for (std::uint64_t id : expired)
    {
        revoke_lease(id);
    }
}

void kv_engine::renew_all_leases(time_point now)
{
    for (auto& [id, it] : leases_)
    {
        it.expires_at = now + it.time_to_live;
    }
}

std::optional<std::vector<kv_event>> kv_engine::events_since(std::uint64_t first,
                                                             const kv_range& keys) const
{
    if (first < first_kept_revision_)
    {
        return std::nullopt;
    }
    std::vector<kv_event> found;
    for (auto it = events_.rbegin();
         it != events_.rend() && it->entry.mod_revision >= first;
         ++it)
    {
        if (keys.contains(it->entry.key))
        {
            found.push_back(*it);
        }
    }
    std::reverse(found.begin(), found.end());
    return found;
}

bool kv_engine::is_compare_met(const kv_compare& compare) const
{
    auto it = entries_.find(compare.key);
    const std::uint64_t actual =
        it == entries_.end() ? 0 : compared_value(it->second, compare.target);
    return actual == compare.expected;
}

bool kv_engine::do_leases_exist(const std::vector<kv_operation>& operations) const
{
    return std::all_of(operations.begin(),
                       operations.end(),
                       [&](const kv_operation& it)
                       { return it.lease == 0 || leases_.contains(it.lease); });
}

kv_operation_result kv_engine::apply(const kv_operation& operation,
                                     std::uint64_t revision)
{
    kv_operation_result made;
    made.type = operation.type;
    switch (operation.type)
    {
    case kv_operation_type::range:
        made.entries = range(operation.keys);
        break;
    case kv_operation_type::put:
        put(operation, revision);
        break;
    case kv_operation_type::deletion:
        made.deleted = erase(operation.keys, revision);
        break;
    }
    return made;
}

void kv_engine::put(const kv_operation& operation, std::uint64_t revision)
{
    kv_entry& entry = entries_[operation.keys.first];
    detach_from_lease(entry);
    if (entry.version == 0)
    {
        entry.key = operation.keys.first;
        entry.create_revision = revision;
    }
    entry.value = operation.value;
    entry.mod_revision = revision;
    ++entry.version;
    entry.lease = operation.lease;
    if (operation.lease != 0)
    {
        leases_[operation.lease].keys.insert(entry.key);
    }
    record_event(kv_event_type::put, entry, revision);
}

std::uint64_t kv_engine::erase(const kv_range& keys, std::uint64_t revision)
{
    const std::vector<kv_entry> found = range(keys);
    for (const kv_entry& it : found)
    {
        detach_from_lease(it);
        entries_.erase(it.key);
        kv_entry tombstone;
        tombstone.key = it.key;
        tombstone.mod_revision = revision;
        record_event(kv_event_type::deletion, tombstone, revision);
    }
    return found.size();
}

void kv_engine::detach_from_lease(const kv_entry& entry)
{
    auto it = leases_.find(entry.lease);
    if (it != leases_.end())
    {
        it->second.keys.erase(entry.key);
    }
}

void kv_engine::record_event(kv_event_type type,
                             const kv_entry& entry,
                             std::uint64_t revision)
{
    revision_ = revision;
    events_.push_back({type, entry});
    while (events_.size() > options_.max_events)
    {
        first_kept_revision_ = events_.front().entry.mod_revision + 1;
        events_.pop_front();
    }
}

} // namespace camphorrock::fakes
