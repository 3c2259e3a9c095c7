#pragma once

// The state of the fake platform's instance list: what a reader sees is what was so a
// while ago. Without I/O or a clock; the time of each call must not decrease.

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "store/instance_list.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace camphorrock::fakes
{

class lagging_list
{
public:
    explicit lagging_list(duration lag) : lag_(lag) {}

    // Holds for changes that are not visible yet, too.
    void set_lag(duration lag)
    {
        lag_ = lag;
    }

    void enter(instance_entry entry, time_point now);
    void leave(const instance_id& id, time_point now);

    // The list as it was `lag` ago, in the order of the ids.
    std::vector<instance_entry> read(time_point now);

private:
    struct change
    {
        time_point at;
        instance_id id;
        std::optional<instance_entry> entry; // none: it left
    };

    duration lag_;
    std::deque<change> hidden_; // oldest first
    std::map<instance_id, instance_entry> visible_;
};

} // namespace camphorrock::fakes
