#pragma once

// Samples of the recent requests for one service, by key. An assigner balances load by
// them.
//
// Memory: at most `max_samples` keys. Adding is O(1).

#include "core/base/time.hpp"
#include "core/gateway/owners/key_assignment.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace camphorrock
{

struct key_load_options
{
    duration window = milliseconds(1500);
    duration min_sampled_duration = milliseconds(250);
    std::size_t max_samples = 8192; // beyond it, the oldest is dropped
};

class key_load
{
public:
    explicit key_load(key_load_options options = {}) : options_(options) {}

    void add(shard_key key, time_point now);

    // Drops the samples that are older than the window.
    void expire(time_point now);

    // The time that the samples cover: from the oldest one until `now`, clamped to
    // [min_sampled_duration, window]. Without samples, the window.
    duration sampled_duration(time_point now) const;

    std::size_t size() const
    {
        return samples_.size();
    }

    // The sorted keys of all samples within the range, one entry a request.
    // O(samples log samples).
    std::vector<unsigned> keys_in(shard_key_range range) const;

private:
    struct sample
    {
        time_point at;
        unsigned key;
    };

    key_load_options options_;
    std::deque<sample> samples_;
};

// The narrowest range that contains `wanted` entries of the sorted keys, or all entries
// if there are fewer. A key that occurs several times can't be divided, so the range may
// contain more. Empty if there are no keys. O(keys).
std::optional<shard_key_range> narrowest_range(const std::vector<unsigned>& sorted_keys,
                                               std::size_t wanted);

} // namespace camphorrock
