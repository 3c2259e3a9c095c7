#pragma once

// The keys that exist under a watch's prefix, according to the keys that the watch was
// given at its start and the changes that it has delivered since. A key that is missing
// from a later read of the prefix was deleted in between.

#include "store/store_client.hpp"

#include <string>
#include <unordered_set>
#include <vector>

namespace camphorrock
{

class watched_keys
{
public:
    explicit watched_keys(const std::vector<std::string>& initial_keys)
        : keys_(initial_keys.begin(), initial_keys.end())
    {
    }

    // Applies changes that the watch delivers; a deleted key has revision 0.
    void apply_changes(const std::vector<store_entry>& changes);

    // Returns a deleted entry for each known key that is not in `read`, which must hold
    // all keys of the prefix. The order is unspecified.
    std::vector<store_entry> missing_from(const std::vector<store_entry>& read) const;

private:
    std::unordered_set<std::string> keys_;
};

} // namespace camphorrock
