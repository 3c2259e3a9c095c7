#pragma once

// Carries out what peer_watch decides: asks the routers that have not answered forwarded
// requests, by the message peer.ping on the peer port.
//
//     if (prober.is_silent(peer)) ... // refuse at once
//     prober.sent(peer);
//     prober.heard(peer);

#include "core/routing/peer_failure_detector.hpp"
#include "router/router_parts.hpp"

namespace camphorrock
{

class peer_prober
{
public:
    explicit peer_prober(router_parts& parts) : parts_(parts), watch_({}) {}

    void sent(const endpoint& peer);

    void note_answer(const endpoint& peer)
    {
        watch_.note_answer(peer);
    }

    bool is_unresponsive(const endpoint& peer) const
    {
        return watch_.is_unresponsive(peer);
    }

private:
    void tick();
    void ask(const endpoint& peer);

    router_parts& parts_;
    peer_failure_detector watch_;
    timer_handle timer_; // while a peer has not answered
};

} // namespace camphorrock
