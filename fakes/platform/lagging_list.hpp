#pragma once

// The state of the fake platform's instance list. Readers see changes after a lag, as on
// the real platform. The list does no I/O and reads no clock; `now` must not decrease
// from call to call.

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

    // Applies also to changes that are not visible yet.
    void set_lag(duration lag)
    {
        lag_ = lag;
    }

    // Registers an instance, or replaces its entry.
    void enter(instance_entry entry, time_point now);
    // Deregisters an instance.
    void leave(const instance_id& id, time_point now);

    // Returns the list as it was one lag before `now`, sorted by id.
    std::vector<instance_entry> read(time_point now);

private:
    struct change
    {
        time_point at; // when the change was made
        instance_id id;
        std::optional<instance_entry> entry; // empty: the instance left
    };

    duration lag_;
    std::deque<change> pending_; // not visible yet; oldest first
    std::map<instance_id, instance_entry> visible_;
};

} // namespace camphorrock::fakes
