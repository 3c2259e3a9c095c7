#pragma once

// The actions that a shard_controller asks its caller to carry out. Messages may be lost:
// the controller repeats them. The caller must answer each read_record and write_record
// with exactly one event.

#include "core/ownership/shard_record.hpp"

#include <variant>
#include <vector>

namespace camphorrock
{

// A linearizable read of the record; answered by record_read or read_failed.
struct read_record
{
};

// Write the record if the record in the store has version `expected` (0: there is none);
// answered by write_ended.
struct write_record
{
    epoch expected;
    shard_record record;
};

// Send the record to a router. The router's reports carry the version that it acts on.
struct send_record
{
    instance_id to;
    endpoint peer;
    epoch version; // of the controller's record(), which is sent
};

// Ask a voter to refuse versions below this one; an answer goes to fence_answered.
struct send_fence
{
    voter_entry to;
    epoch version;
};

// Release the shard's lease, since this assigner reaches no majority of the voters.
struct resign
{
};

using controller_action =
    std::variant<read_record, write_record, send_record, send_fence, resign>;

using controller_actions = std::vector<controller_action>;

} // namespace camphorrock
