#pragma once

// The assigners that the platform's list names, for a router that knows no assigner of a
// shard yet, or lost the one that it knew. Read periodically; the last list is kept
// during an outage.

#include "net/event_loop.hpp"
#include "store/instance_list.hpp"

#include <vector>

namespace camphorrock
{

class assigner_directory
{
public:
    // Both must outlive the directory.
    assigner_directory(event_loop& loop, instance_list& instances)
        : loop_(loop), instances_(instances)
    {
    }

    void start();

    const std::vector<endpoint>& peers() const
    {
        return peers_;
    }

private:
    void read();

    event_loop& loop_;
    instance_list& instances_;
    std::vector<endpoint> peers_;
    timer_handle timer_;
};

} // namespace camphorrock
