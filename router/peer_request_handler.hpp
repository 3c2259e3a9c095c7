#pragma once

// Answers requests of other instances on the peer port: JSON-RPC at POST /rpc
// (shard.vouch, shard.fence, shard.update, config.get, peer.ping) and forwarded requests
// below /forward.

#include "net/http_server.hpp"
#include "net/rpc_server.hpp"
#include "router/router_context.hpp"

#include <functional>
#include <map>

namespace camphorrock
{

class config_agent;
class shard_agent;
class voter;

class peer_request_handler : public http_handler
{
public:
    // Handles a forwarded request, whose target has lost the prefix /forward.
    using forward_handler =
        std::function<void(http_request, const std::shared_ptr<http_responder>&)>;
    using shard_finder = std::function<shard_agent*(const shard_id&)>;

    peer_request_handler(router_context& context,
                         config_agent& config,
                         voter& votes,
                         shard_finder find_shard,
                         forward_handler on_forward);

    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

private:
    result<Json::Value> vote_on_lease(const Json::Value& params);
    result<Json::Value> fence(const Json::Value& params);
    result<Json::Value> update(const Json::Value& params);
    result<Json::Value> get_config() const;

    router_context& context_;
    config_agent& config_;
    voter& voter_;
    shard_finder find_shard_;
    forward_handler on_forward_;
    rpc_server rpc_;
};

} // namespace camphorrock
