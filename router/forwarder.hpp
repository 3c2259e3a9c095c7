#pragma once

// Passes a request on to the router that schedules its server, over HTTP on the peer
// port, and the answer back, whole.
//
// A request whose hop ends without a whole answer is `not-run` only where no byte of it
// left this router; otherwise it is `unknown`. A request that may be repeated is sent
// once more where the first hop broke and a newer record names another scheduler. Where
// the scheduler is silent, as peer_prober finds, a request is refused at once.

#include "router/live_request.hpp"
#include "router/peer_prober.hpp"
#include "router/router_parts.hpp"

namespace camphorrock
{

// The prefix of forwarded targets on the peer port.
constexpr std::string_view forward_prefix = "/forward";

class forwarder
{
public:
    explicit forwarder(router_parts& parts) : parts_(parts), peers_(parts) {}

    // Ends the request, now or later.
    void forward(const live_request_ptr& request, const route& to);

private:
    void send(const live_request_ptr& request, const route& to, bool is_second);
    void ended(const live_request_ptr& request,
               const route& to,
               bool is_second,
               exchange_result got);
    bool may_send_again(const live_request& request, const exchange_result& got) const;
    http_request make_request(const live_request& request) const;

    router_parts& parts_;
    peer_prober peers_;
};

} // namespace camphorrock
