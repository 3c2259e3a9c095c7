#include "fakes/platform/kv_engine.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock::fakes
{
namespace
{

const std::string no_end(1, '\0');

std::uint64_t number_of(const kv_entry& entry, kv_target target)
{
    switch (target)
    {
    case kv_target::mod_revision:
        return entry.mod_revision;
    case kv_target::create_revision:
        return entry.create_revision;
    case kv_target::version:
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

kv_transaction_result kv_engine::run(const kv_transaction& what)
{
    kv_transaction_result made;
    made.succeeded = std::all_of(what.compares.begin(),
                                 what.compares.end(),
                                 [&](const kv_compare& it) { return holds(it); });
    const std::vector<kv_operation>& chosen =
        made.succeeded ? what.on_success : what.on_failure;
    made.is_lease_missing = !are_leases_known(chosen);
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
    const std::uint64_t id = ++last_lease_;
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
    it->second.ends = now + it->second.time_to_live;
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

void kv_engine::expire(time_point now)
{
    std::vector<std::uint64_t> over;
    for (const auto& [id, it] : leases_)
    {
        if (it.ends <= now)
        {
            over.push_back(id);
        }
    }
    for (std::uint64_t id : over)
    {
        revoke_lease(id);
    }
}

void kv_engine::renew_all(time_point now)
{
    for (auto& [id, it] : leases_)
    {
        it.ends = now + it.time_to_live;
    }
}

std::optional<std::vector<kv_event>> kv_engine::events_since(std::uint64_t first,
                                                             const kv_range& keys) const
{
    if (first < first_kept_)
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

bool kv_engine::holds(const kv_compare& what) const
{
    auto it = entries_.find(what.key);
    const std::uint64_t number =
        it == entries_.end() ? 0 : number_of(it->second, what.target);
    return number == what.number;
}

bool kv_engine::are_leases_known(const std::vector<kv_operation>& operations) const
{
    return std::all_of(operations.begin(),
                       operations.end(),
                       [&](const kv_operation& it)
                       { return it.lease == 0 || leases_.contains(it.lease); });
}

kv_operation_result kv_engine::apply(const kv_operation& what, std::uint64_t revision)
{
    kv_operation_result made;
    made.type = what.type;
    switch (what.type)
    {
    case kv_operation_type::range:
        made.entries = range(what.keys);
        break;
    case kv_operation_type::put:
        put(what, revision);
        break;
    case kv_operation_type::deletion:
        made.deleted = erase(what.keys, revision);
        break;
    }
    return made;
}

void kv_engine::put(const kv_operation& what, std::uint64_t revision)
{
    kv_entry& entry = entries_[what.keys.first];
    detach(entry);
    if (entry.version == 0)
    {
        entry.key = what.keys.first;
        entry.create_revision = revision;
    }
    entry.value = what.value;
    entry.mod_revision = revision;
    ++entry.version;
    entry.lease = what.lease;
    if (what.lease != 0)
    {
        leases_[what.lease].keys.insert(entry.key);
    }
    note(kv_event_type::put, entry, revision);
}

std::uint64_t kv_engine::erase(const kv_range& keys, std::uint64_t revision)
{
    const std::vector<kv_entry> found = range(keys);
    for (const kv_entry& it : found)
    {
        detach(it);
        entries_.erase(it.key);
        kv_entry gone;
        gone.key = it.key;
        gone.mod_revision = revision;
        note(kv_event_type::deletion, gone, revision);
    }
    return found.size();
}

void kv_engine::detach(const kv_entry& entry)
{
    auto it = leases_.find(entry.lease);
    if (it != leases_.end())
    {
        it->second.keys.erase(entry.key);
    }
}

void kv_engine::note(kv_event_type type, const kv_entry& entry, std::uint64_t revision)
{
    revision_ = revision;
    events_.push_back({type, entry});
    while (events_.size() > options_.max_events)
    {
        first_kept_ = events_.front().entry.mod_revision + 1;
        events_.pop_front();
    }
}

} // namespace camphorrock::fakes
