#pragma once

// The assigners in the platform's list of instances, for a router that does not know a
// shard's assigner, or can no longer reach it. The list is read periodically; during an
// outage the last one read is kept.

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

    // Reads the list at once, and then periodically.
    void start();

    // Where the assigners accept calls. Empty before the first answer.
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
