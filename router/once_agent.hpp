#pragma once

// The gate for requests that may not be repeated: each is recorded in the shard's journal
// in the store before it is sent, and runs at most once. See docs/DESIGN.md, "At most
// once".

#include "router/live_request.hpp"
#include "router/router_parts.hpp"
#include "router/server_lane.hpp"

#include <functional>

namespace camphorrock
{

class once_agent
{
public:
    // Sends a request to its server and calls back once.
    using runner = std::function<void(const live_request_ptr&, server_lane::callback)>;

    once_agent(router_parts& parts, shard_id shard, runner run)
        : parts_(parts), shard_(std::move(shard)), run_(std::move(run))
    {
    }

    // Ends the request, now or later.
    void submit(const live_request_ptr& request);

private:
    router_parts& parts_;
    shard_id shard_;
    runner run_;
};

} // namespace camphorrock
