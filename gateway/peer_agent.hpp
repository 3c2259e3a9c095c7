#pragma once

// The other gateways as ways to servers that this one cannot reach: chooses one for each
// request, tells all others while this one reaches no server itself, and remembers which
// servers the others cannot reach either, so that requests for a server that has ended do
// not all go by another gateway first.

#include "core/gateway/links/peer_choice.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/link_agent.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace camphorrock
{

class peer_agent
{
public:
    using send_function = std::function<void(const endpoint&, std::string_view)>;

    // `loop`, `state` and `links` must outlive the agent. `send` sends a datagram to a
    // gateway.
    peer_agent(event_loop& loop,
               gateway_state& state,
               link_agent& links,
               send_function send);
    peer_agent(const peer_agent&) = delete;
    peer_agent& operator=(const peer_agent&) = delete;

    // Empty if no gateway may be chosen. Any other result must be given to ended().
    std::optional<endpoint> start(const std::vector<endpoint>& excluded);
    void ended(const endpoint& peer, peer_end how);

    // Another gateway could not reach the server either.
    void note_unreachable(const server_id& server);
    // True for a while after that.
    bool is_unreachable_for_others(const server_id& server) const;

    // To be called with each datagram that another gateway sent. Returns false for one
    // that is of another kind.
    bool on_datagram(std::string_view datagram);

private:
    void on_links_changed();
    void tell_all(bool is_cut_off);

    event_loop& loop_;
    gateway_state& state_;
    link_agent& links_;
    send_function send_;
    peer_choice peers_;
    std::map<server_id, time_point> unreachable_until_;
    timer_handle repeat_timer_; // empty while the links are up
};

} // namespace camphorrock
