#pragma once

// What a scheduler asks of a server, and what the server answers. One message carries the
// grants of all partitions that the server has, so that renewals cost one exchange.

#include "core/base/epoch.hpp"
#include "core/base/key_hash.hpp"
#include "core/base/time.hpp"

#include <vector>

namespace camphorrock
{

// A reading of a server's own boot clock. Only that server can compare it.
struct server_clock
{
    milliseconds value{0};

    auto operator<=>(const server_clock&) const = default;
};

// A partition at the epoch that set its owner.
struct granted_partition
{
    hash_range range;
    epoch since;

    bool operator==(const granted_partition&) const = default;
};

// "You own these partitions until as_of + ttl on your clock." Renewals are the same.
struct grant_message
{
    server_clock as_of; // the latest reading that the server gave to this scheduler
    milliseconds ttl{0};
    std::vector<granted_partition> partitions;
};

// "You own these no longer, and nothing of these epochs or below will come again."
struct revoke_message
{
    std::vector<granted_partition> partitions;
};

// A server's answer to a clock, grant or revoke message.
struct server_reply
{
    server_clock clock;
    std::vector<granted_partition> accepted; // what now holds: granted, or revoked
};

} // namespace camphorrock
