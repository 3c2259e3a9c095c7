#pragma once

// The other gateways as ways to servers that this one cannot reach: chooses one for each
// request, and remembers which servers they cannot reach either, so that requests for a
// server that has ended do not all go by another gateway first.

#include "core/gateway/links/peer_choice.hpp"
#include "gateway/gateway_state.hpp"
#include "net/event_loop.hpp"

#include <map>
#include <optional>
#include <vector>

namespace camphorrock
{

class peer_agent
{
public:
    // Both must outlive the agent.
    peer_agent(event_loop& loop, gateway_state& state);
    peer_agent(const peer_agent&) = delete;
    peer_agent& operator=(const peer_agent&) = delete;

    // Empty if no gateway may be chosen. Any other result must be given to ended().
    std::optional<endpoint> start(const std::vector<endpoint>& excluded);
    void ended(const endpoint& peer, peer_end how);

    // Another gateway could not reach the server either.
    void note_unreachable(const server_id& server);
    // True for a while after that.
    bool is_unreachable_for_others(const server_id& server) const;

private:
    event_loop& loop_;
    gateway_state& state_;
    peer_choice peers_;
    std::map<server_id, time_point> unreachable_until_;
};

} // namespace camphorrock
