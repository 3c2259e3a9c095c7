#pragma once

// Detects routers that are unresponsive. A request that is forwarded to such a router
// would wait until its deadline without an answer, so it is refused at once instead.
//
//     detector.sent(peer, now);     // a request was sent
//     detector.note_answer(peer);   // any answer was received
//     for (const endpoint& it : detector.due_probes(now)) ...  // send a probe
//     detector.probe_failed(peer);  // the probe was not answered
//     if (detector.is_unresponsive(peer)) ...  // refuse the request
//
// A request that takes long does not make its router unresponsive. Instead, a peer that
// has not answered anything for `probe_delay` is probed. It is unresponsive once several
// consecutive probes have failed, until any answer of it is received. Probing ends when
// no request was sent to the peer for `forget_after`.
//
// Each call costs O(log n) in the peers that have not answered, due_probes() O(n). At
// most `max_peers` peers are tracked; a further one never counts as unresponsive.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace camphorrock
{

struct peer_failure_detector_options
{
    duration probe_delay = milliseconds(200);  // from a request without answer to a probe
    duration probe_period = milliseconds(250); // between two probes
    duration forget_after = seconds(10);       // since the last request
    unsigned failure_threshold = 2;            // consecutive failed probes
    std::size_t max_peers = 1024;
};

class peer_failure_detector
{
public:
    explicit peer_failure_detector(peer_failure_detector_options options)
        : options_(options)
    {
    }

    // A request was sent to the peer, or was refused because the peer is unresponsive.
    void sent(const endpoint& peer, time_point now);

    // Any answer of the peer was received, to a request or to a probe.
    void note_answer(const endpoint& peer);

    void probe_failed(const endpoint& peer);

    bool is_unresponsive(const endpoint& peer) const;

    // Returns the peers to probe now, each at most once per `probe_period`. Forgets the
    // peers whose `forget_after` has passed.
    std::vector<endpoint> due_probes(time_point now);

    // True if some peer has not answered since a request was sent to it.
    bool has_unanswered_peers() const
    {
        return !unanswered_.empty();
    }

private:
    struct unanswered_peer
    {
        time_point next_probe_at;
        time_point last_sent_at;
        unsigned failed_probes = 0;
    };

    peer_failure_detector_options options_;
    std::map<endpoint, unanswered_peer>
        unanswered_; // peers with a request after their last answer
};

} // namespace camphorrock
