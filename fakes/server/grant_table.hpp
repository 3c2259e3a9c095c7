#pragma once

// The grants of a fake server: one grant_guard per shard. Serves the JSON-RPC methods
// ownership.clock, grant, renew and revoke, and writes a history record for each change.

#include "app/event_log.hpp"
#include "app/line_file.hpp"
#include "codec/messages.hpp"
#include "core/ownership/grant_guard.hpp"
#include "net/event_loop.hpp"
#include "net/rpc_server.hpp"

#include <map>

namespace camphorrock
{

class grant_table
{
public:
    // `self` is the id of this server. All references must outlive the table.
    grant_table(event_loop& loop, server_id self, line_file& history, event_log& log);

    // Adds the methods to the server's JSON-RPC dispatch.
    void add_methods(rpc_server& rpc);

    // Decides whether a request for hash `at` of this shard, with epoch `since`, may run
    // now.
    guard_verdict check(const shard_id& shard, key_hash at, epoch since);

    // Apply a message. The answer has the epoch of the message if it was accepted, and
    // epoch 0 if it was refused. Fail with error_code::refused if the shard is new and
    // the table already has its maximum of 64 shards.
    result<ownership_answer> grant(const ownership_params& params);
    result<ownership_answer> revoke(const ownership_params& params);

private:
    result<grant_guard*> find_or_create_guard(const shard_id& shard);
    void record_grant(const ownership_params& params, time_point now);
    void log_refusal(const ownership_params& params);

    event_loop& loop_;
    server_id self_;
    line_file& history_;
    event_log& log_;
    ownership_options options_;
    time_point started_at_;
    std::map<shard_id, grant_guard> guards_;
};

} // namespace camphorrock
