#pragma once

// Receives requests from callers and from other routers and checks them. Passes each one
// to the shard agent if this router schedules the key's server, else forwards it to the
// router that does, or refuses it.

#include "net/http_server.hpp"
#include "router/forwarder.hpp"
#include "router/live_request.hpp"
#include "router/request_reader.hpp"
#include "router/router_context.hpp"
#include "store/config_agent.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace camphorrock
{

class shard_agent;

class request_handler : public http_handler
{
public:
    using shard_finder = std::function<shard_agent*(const shard_id&)>;

    request_handler(router_context& context,
                    const config_agent& config,
                    shard_finder find_shard);

    // A caller's request.
    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    // A request that another router forwarded.
    void handle_forwarded(http_request request,
                          const std::shared_ptr<http_responder>& responder);

    // Number of requests that have not ended.
    std::size_t held_requests() const
    {
        return held_requests_;
    }

private:
    // Returns a request that is answered through the responder when it ends.
    live_request_ptr create_request(const std::shared_ptr<http_responder>& responder);
    void accept(http_request from, const live_request_ptr& request);
    void dispatch(const live_request_ptr& request);
    void record_metrics(const live_request& request, const request_summary& summary);

    router_context& context_;
    const config_agent& config_;
    shard_finder find_shard_;
    forwarder forwarder_;
    std::size_t held_requests_ = 0;
};

} // namespace camphorrock
