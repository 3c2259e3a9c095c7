#pragma once

// A way of placing keys on servers, as the balance bench compares them.

#include "core/base/time.hpp"

#include <cstddef>
#include <vector>

namespace camphorrock
{

class key_placement
{
public:
    virtual ~key_placement() = default;

    // Which servers take keys, by index; called at the start and after each change.
    virtual void servers_changed(const std::vector<bool>& takes_keys, time_point now) = 0;

    // A request to that key.
    virtual void observe(std::size_t key, time_point now) = 0;

    // Called ten times a second.
    virtual void advance(time_point now) = 0;

    // The owner of each key, by index.
    virtual const std::vector<std::size_t>& owners() const = 0;
};

} // namespace camphorrock
