#pragma once

// The keys that a watch has delivered, or was told of at its start, and that are there as
// far as it knows: those that a later reading lacks were deleted meanwhile.

#include "store/store_client.hpp"

#include <string>
#include <unordered_set>
#include <vector>

namespace camphorrock
{

class watched_keys
{
public:
    explicit watched_keys(const std::vector<std::string>& known)
        : keys_(known.begin(), known.end())
    {
    }

    // Takes changes that are delivered; a deleted key has revision 0.
    void note(const std::vector<store_entry>& changes);

    // As deleted entries, the known keys that are not among all that were read.
    std::vector<store_entry> missing_from(const std::vector<store_entry>& read) const;

private:
    std::unordered_set<std::string> keys_;
};

} // namespace camphorrock
