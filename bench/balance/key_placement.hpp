#pragma once

// The interface of the key placements that the balance benchmark compares.

#include "core/base/time.hpp"

#include <cstddef>
#include <vector>

namespace camphorrock
{

class key_placement
{
public:
    virtual ~key_placement() = default;

    // Reports which servers take keys, by the index of the server. Called at the start
    // and after each change.
    virtual void servers_changed(const std::vector<bool>& takes_keys, time_point now) = 0;

    // Records a request to the key with that index.
    virtual void observe(std::size_t key, time_point now) = 0;

    // Called every 100 ms.
    virtual void advance(time_point now) = 0;

    // The index of the owning server, by the index of the key.
    virtual const std::vector<std::size_t>& owners() const = 0;
};

} // namespace camphorrock
