#pragma once

// What a shard_controller asks its program to do. Messages may be lost: the machine sends
// again by itself. Each read_record and write_record must be answered by one event.

#include "core/ownership/shard_record.hpp"

#include <variant>
#include <vector>

namespace camphorrock
{

// A linearizable read of the record; answered by record_read or read_failed.
struct read_record
{
};

// Write the record if the one in the store has version `expected` (0: it is absent);
// answered by write_ended.
struct write_record
{
    epoch expected;
    shard_record record;
};

// Give the record to a router; its reports tell which version it has.
struct send_record
{
    instance_id to;
    endpoint peer;
    epoch version; // of the controller's record()
};

// Ask a voter to refuse versions below this one; answered by fence_answered.
struct send_fence
{
    voter_entry to;
    epoch version;
};

// Give up the lease: this assigner reaches no majority of the voters.
struct resign
{
};

using controller_action =
    std::variant<read_record, write_record, send_record, send_fence, resign>;

using controller_actions = std::vector<controller_action>;

} // namespace camphorrock
