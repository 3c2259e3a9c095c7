#include "assigner/shard_election.hpp"

#include "core/ownership/record_keys.hpp"

namespace camphorrock
{

shard_election::shard_election(assigner_parts& parts,
                               lease_keeper& lease,
                               shard_id shard,
                               std::function<void(bool)> changed)
    : parts_(parts), lease_(lease), shard_(std::move(shard)), changed_(std::move(changed))
{
}

void shard_election::attempt()
{
    store_lease lease = lease_.current();
    bool may_try = is_candidate_ && !is_held_ && !is_calling_ && lease.value != 0 &&
                   parts_.loop.now() >= not_before_;
    if (!may_try)
    {
        return;
    }
    is_calling_ = true;
    parts_.store.compare_and_swap(lease_key(shard_),
                                  store_revision{},
                                  value_of(lease),
                                  lease,
                                  [this, lease](const store_write& got)
                                  { ended(lease, got); });
}

void shard_election::ended(store_lease lease, const store_write& got)
{
    is_calling_ = false;
    bool is_same_lease = lease == lease_.current();
    if (got.end == store_end::done && is_same_lease)
    {
        revision_ = got.revision;
        set_held(true);
        return;
    }
    if (got.end != store_end::conflict || !got.current)
    {
        return;
    }
    const std::string& value = got.current->value;
    holder_ = instance_id(value.substr(0, value.find(' ')));
    // After a lost reply the key may be ours already.
    if (is_same_lease && value == value_of(lease))
    {
        revision_ = got.current->revision;
        set_held(true);
    }
}

void shard_election::key_gone()
{
    set_held(false);
    attempt();
}

std::string shard_election::value_of(store_lease lease) const
{
    return parts_.settings.id.str() + " " + std::to_string(lease.value);
}

void shard_election::lease_lost()
{
    set_held(false);
}

void shard_election::resign(duration pause)
{
    not_before_ = parts_.loop.now() + pause;
    give_up();
}

void shard_election::stand_down()
{
    is_candidate_ = false;
    give_up();
}

void shard_election::give_up()
{
    if (!is_held_)
    {
        return;
    }
    set_held(false);
    parts_.store.compare_and_delete(
        lease_key(shard_), revision_, [](const store_write&) {});
}

void shard_election::set_held(bool is_held)
{
    if (is_held == is_held_)
    {
        return;
    }
    is_held_ = is_held;
    parts_.log.write(is_held ? event_id::elected : event_id::lease_lost,
                     {{"shard", shard_}});
    if (is_held)
    {
        holder_ = {};
    }
    changed_(is_held);
    if (is_held && !is_candidate_)
    {
        give_up();
    }
}

} // namespace camphorrock
