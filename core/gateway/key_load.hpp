#pragma once

// The requests of the last seconds of one service, by key: what an assigner balances on.
//
// Memory: at most `max_samples` keys. Adding is O(1).

#include "core/base/time.hpp"
#include "core/gateway/key_assignment.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace camphorrock
{

struct key_load_options
{
    duration span = milliseconds(1500);
    duration least_covered = milliseconds(250);
    std::size_t max_samples = 8192; // the oldest go first
};

class key_load
{
public:
    explicit key_load(key_load_options options = {}) : options_(options) {}

    void add(shard_key key, time_point now);

    // Forgets what is older than the span.
    void expire(time_point now);

    // The time that the samples stand for: from the first on, at most the span.
    duration covered(time_point now) const;

    std::size_t size() const
    {
        return samples_.size();
    }

    // The keys of all samples within the range, sorted, one entry a request.
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

// The narrowest range that holds `wanted` of the sorted keys; all of them where there are
// fewer. A key that stands several times is not divided, so it may hold more. None where
// there are no keys. O(keys).
std::optional<shard_key_range> narrowest_range(const std::vector<unsigned>& sorted_keys,
                                               std::size_t wanted);

} // namespace camphorrock
