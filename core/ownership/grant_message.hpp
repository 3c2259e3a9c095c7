#pragma once

// The messages that a scheduler sends to a server, and the server's answer. One message
// carries the grants of all partitions of the server, so that a renewal costs one
// exchange.

#include "core/base/epoch.hpp"
#include "core/base/key_hash.hpp"
#include "core/base/time.hpp"

#include <vector>

namespace camphorrock
{

// A reading of a server's boot clock. Readings of different servers, or of a server and
// this process, are not comparable.
struct server_clock
{
    milliseconds value{0};

    auto operator<=>(const server_clock&) const = default;
};

// A partition and the epoch that set its owner or its scheduler (partition_entry::since).
struct granted_partition
{
    hash_range range;
    epoch since;

    bool operator==(const granted_partition&) const = default;
};

// Grants the partitions until as_of + ttl on the server's clock. A renewal is the same
// message with a later reading.
struct grant_message
{
    server_clock as_of; // the latest reading that this scheduler received from the server
    milliseconds ttl{0};
    std::vector<granted_partition> partitions;
};

// Ends the grants of the partitions. The server accepts no later grant of these epochs or
// lower ones.
struct revoke_message
{
    std::vector<granted_partition> partitions;
};

// A server's answer to a clock, grant or revoke message.
struct server_reply
{
    server_clock clock;
    std::vector<granted_partition> accepted; // those granted, or revoked
};

} // namespace camphorrock
