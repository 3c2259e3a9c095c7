#include "core/membership/voter.hpp"

#include <algorithm>

namespace camphorrock
{

voter::voter(ownership_options options, time_point started_at)
    : options_(options), started_at_(started_at)
{
}

void voter::store_read(const shard_id& shard,
                       epoch version,
                       time_point begun_at,
                       time_point now)
{
    shard_state* state = begun_at < started_at_ ? nullptr : find_or_add(shard);
    if (!state)
    {
        return;
    }
    raise_fence(*state, version, now);
    state->read_begun_at =
        state->has_store_read ? std::max(state->read_begun_at, begun_at) : begun_at;
    state->has_store_read = true;
}

voter_reply voter::vote_on_lease(const shard_id& shard, epoch version, time_point now)
{
    shard_state* state = find_or_add(shard);
    if (!state)
    {
        return {};
    }
    state->highest = std::max(state->highest, version);
    return {
        is_current(*state, now) && state->fenced_version <= version, state->highest, {}};
}

voter_reply voter::fence(const shard_id& shard, epoch version, time_point now)
{
    shard_state* state = find_or_add(shard);
    if (!state)
    {
        return {};
    }
    raise_fence(*state, version, now);
    return {is_current(*state, now), state->highest, now - state->fenced_at};
}

void voter::raise_fence(shard_state& state, epoch version, time_point now)
{
    if (state.fenced_version < version)
    {
        state.fenced_version = version;
        state.fenced_at = now;
    }
    state.highest = std::max(state.highest, version);
}

bool voter::is_ready(const shard_id& shard, time_point now) const
{
    auto it = shards_.find(shard);
    return it != shards_.end() && is_current(it->second, now);
}

bool voter::is_current(const shard_state& state, time_point now) const
{
    return state.has_store_read &&
           now < state.read_begun_at + options_.max_store_read_age;
}

voter::shard_state* voter::find_or_add(const shard_id& shard)
{
    auto it = shards_.find(shard);
    if (it != shards_.end())
    {
        return &it->second;
    }
    if (shards_.size() >= options_.max_shards)
    {
        return nullptr;
    }
    return &shards_[shard];
}

} // namespace camphorrock
