#pragma once

// Which other routers are silent: a request forwarded to such a router would wait for its
// deadline in vain, so it is refused at once instead.
//
//     watch.sent(peer, now);                          // a request went out to it
//     watch.heard(peer);                              // anything came back
//     for (const endpoint& it : watch.due(now)) ...   // ask it whether it is there
//     watch.question_failed(peer);                    // that question got no answer
//     if (watch.is_silent(peer)) ...                  // refuse
//
// A long request is no sign of silence. So a peer that has answered nothing for
// quiet_limit is asked, and counts as silent once several questions in a row have failed,
// until it answers one. Questions end once nothing was sent to it for forget_after.
//
// Each call costs O(log n) in the peers that have not answered, due() O(n). At most
// max_peers are kept; a further one never counts as silent.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace camphorrock
{

struct peer_watch_options
{
    duration quiet_limit = milliseconds(200); // without any answer, before it is asked
    duration ask_period = milliseconds(250);  // between two questions
    duration forget_after = seconds(10);      // without a request
    unsigned silent_after = 2;                // failed questions in a row
    std::size_t max_peers = 1024;
};

class peer_watch
{
public:
    explicit peer_watch(peer_watch_options options) : options_(options) {}

    // A request goes to the peer, or would have gone if it were not silent.
    void sent(const endpoint& peer, time_point now);

    void heard(const endpoint& peer);

    void question_failed(const endpoint& peer);

    bool is_silent(const endpoint& peer) const;

    // The peers to ask now; each is named once a period.
    std::vector<endpoint> due(time_point now);

    // Is there any peer that has not answered?
    bool is_waiting() const
    {
        return !unheard_.empty();
    }

private:
    struct unheard_peer
    {
        time_point ask_at;
        time_point last_sent;
        unsigned failures = 0;
    };

    peer_watch_options options_;
    std::map<endpoint, unheard_peer> unheard_; // peers with a request since they answered
};

} // namespace camphorrock
