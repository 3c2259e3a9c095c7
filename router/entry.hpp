#pragma once

// Takes requests from callers and from other routers, checks them and sends each on its
// way: to a server that this router schedules, to the router that does, or back with a
// refusal.

#include "net/http_server.hpp"
#include "router/forwarder.hpp"
#include "router/live_request.hpp"
#include "router/request_reader.hpp"
#include "router/router_parts.hpp"
#include "store/config_agent.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace camphorrock
{

class shard_agent;

class entry : public http_handler
{
public:
    using shard_finder = std::function<shard_agent*(const shard_id&)>;

    entry(router_parts& parts, const config_agent& config, shard_finder find_shard);

    // A caller's request.
    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    // A request that another router forwarded.
    void handle_forwarded(http_request request,
                          const std::shared_ptr<http_responder>& responder);

    std::size_t held() const
    {
        return held_;
    }

private:
    live_request_ptr open(const std::shared_ptr<http_responder>& responder);
    void accept(http_request from, const live_request_ptr& request);
    void dispatch(const live_request_ptr& request);
    void record(const live_request& request, const request_summary& summary);

    router_parts& parts_;
    const config_agent& config_;
    shard_finder find_shard_;
    forwarder forwarder_;
    std::size_t held_ = 0;
};

} // namespace camphorrock
