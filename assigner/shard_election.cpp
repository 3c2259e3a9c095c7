#include "assigner/shard_election.hpp"

#include "core/ownership/record_keys.hpp"

namespace camphorrock
{

shard_election::shard_election(assigner_context& context,
                               lease_keeper& lease,
                               shard_id shard,
                               std::function<void(bool)> on_changed)
    : context_(context), lease_(lease), shard_(std::move(shard)),
      on_changed_(std::move(on_changed))
{
}

void shard_election::attempt()
{
    store_lease lease = lease_.current();
    bool may_try = is_candidate_ && !is_held_ && !has_pending_call_ && lease.value != 0 &&
                   context_.loop.now() >= next_attempt_at_;
    if (!may_try)
    {
        return;
    }
    has_pending_call_ = true;
    context_.store.compare_and_swap(lease_key(shard_),
                                    store_revision{},
                                    key_value(lease),
                                    lease,
                                    [this, lease](const store_write& got)
                                    { attempt_ended(lease, got); });
}

void shard_election::attempt_ended(store_lease lease, const store_write& got)
{
    has_pending_call_ = false;
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
    // If the reply to an earlier attempt was lost, this process may already hold the key.
    if (is_same_lease && value == key_value(lease))
    {
        revision_ = got.current->revision;
        set_held(true);
    }
}

void shard_election::key_deleted()
{
    set_held(false);
    attempt();
}

std::string shard_election::key_value(store_lease lease) const
{
    return context_.settings.id.str() + " " + std::to_string(lease.value);
}

void shard_election::lease_lost()
{
    set_held(false);
}

void shard_election::resign(duration pause)
{
    next_attempt_at_ = context_.loop.now() + pause;
    release_key();
}

void shard_election::withdraw()
{
    is_candidate_ = false;
    release_key();
}

void shard_election::release_key()
{
    if (!is_held_)
    {
        return;
    }
    set_held(false);
    context_.store.compare_and_delete(
        lease_key(shard_), revision_, [](const store_write&) {});
}

void shard_election::set_held(bool is_held)
{
    if (is_held == is_held_)
    {
        return;
    }
    is_held_ = is_held;
    context_.log.write(is_held ? event_id::elected : event_id::lease_lost,
                       {{"shard", shard_}});
    if (is_held)
    {
        holder_ = {};
    }
    on_changed_(is_held);
    if (is_held && !is_candidate_)
    {
        // withdraw() was called while the attempt was in flight.
        release_key();
    }
}

} // namespace camphorrock
