#pragma once

// Forwards a request to the router that schedules its server, over HTTP on the peer
// port, and returns that router's answer unchanged.
//
// A request that gets no complete answer is `not-run` only if no byte of it left this
// router; otherwise it is `unknown`. A repeatable request is sent once more if the first
// attempt failed and a newer record names another scheduler. If peer_prober finds that
// the scheduler is unresponsive, the request is refused at once.

#include "router/live_request.hpp"
#include "router/peer_prober.hpp"
#include "router/router_context.hpp"

namespace camphorrock
{

// The prefix of forwarded targets on the peer port.
constexpr std::string_view forward_prefix = "/forward";

class forwarder
{
public:
    explicit forwarder(router_context& context) : context_(context), prober_(context) {}

    // Ends the request, during the call or later.
    void forward(const live_request_ptr& request, const route& to);

private:
    void send(const live_request_ptr& request, const route& to, bool is_retry);
    void on_exchange_ended(const live_request_ptr& request,
                           const route& to,
                           bool is_retry,
                           exchange_result got);
    bool may_retry(const live_request& request, const exchange_result& got) const;
    http_request make_request(const live_request& request) const;

    router_context& context_;
    peer_prober prober_;
};

} // namespace camphorrock
