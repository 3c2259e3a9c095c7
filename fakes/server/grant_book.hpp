#pragma once

// The grants of a stand-in server: a grant_guard for each shard, the JSON-RPC methods
// ownership.clock, grant, renew and revoke, and a history record for each change.

#include "app/event_log.hpp"
#include "app/line_file.hpp"
#include "codec/messages.hpp"
#include "core/ownership/grant_guard.hpp"
#include "net/event_loop.hpp"
#include "net/rpc_server.hpp"

#include <map>

namespace camphorrock
{

class grant_book
{
public:
    // All references must outlive the book.
    grant_book(event_loop& loop, server_id self, line_file& history, event_log& log);

    // Adds the methods to the server's JSON-RPC dispatch.
    void add_methods(rpc_server& rpc);

    // May a request of this shard and epoch run now?
    guard_verdict check(const shard_id& shard, key_hash at, epoch since);

    // Fail with error_code::refused where the book is full of other shards.
    result<ownership_answer> grant(const ownership_params& params);
    result<ownership_answer> revoke(const ownership_params& params);

private:
    result<grant_guard*> guard_of(const shard_id& shard);
    void note_grant(const ownership_params& params, time_point now);
    void note_refusal(const ownership_params& params);

    event_loop& loop_;
    server_id self_;
    line_file& history_;
    event_log& log_;
    ownership_options options_;
    time_point started_at_;
    std::map<shard_id, grant_guard> guards_;
};

} // namespace camphorrock
