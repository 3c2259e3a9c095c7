#pragma once

// Sends the probes of peer_failure_detector: calls peer.ping on the peer port of routers
// that have not answered forwarded requests.
//
//     prober.sent(peer);                      // a request is about to be forwarded
//     if (prober.is_unresponsive(peer)) ...   // refuse it at once
//     prober.note_answer(peer);               // any answer was received

#include "core/routing/peer_failure_detector.hpp"
#include "router/router_context.hpp"

namespace camphorrock
{

class peer_prober
{
public:
    explicit peer_prober(router_context& context) : context_(context), detector_({}) {}

    void sent(const endpoint& peer);

    void note_answer(const endpoint& peer)
    {
        detector_.note_answer(peer);
    }

    bool is_unresponsive(const endpoint& peer) const
    {
        return detector_.is_unresponsive(peer);
    }

private:
    void tick();
    void probe(const endpoint& peer);

    router_context& context_;
    peer_failure_detector detector_;
    timer_handle timer_; // runs while a peer has an unanswered request
};

} // namespace camphorrock
