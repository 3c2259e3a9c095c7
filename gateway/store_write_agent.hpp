#pragma once

// Tells the gateways that watch the store at which revisions this gateway wrote to it. A
// watch whose store has gone on to a revision that nothing explains checks whether it has
// missed a change; the assigner writes often, and each of its writes would cost a check
// of each watch. A notice that is lost costs that check.

#include "gateway/gateway_state.hpp"
#include "net/event_loop.hpp"
#include "store/store_client.hpp"

#include <functional>
#include <string_view>
#include <vector>

namespace camphorrock
{

class store_write_agent
{
public:
    using send_function = std::function<void(const endpoint&, std::string_view)>;

    // `state` must outlive the agent. `send` sends a datagram to a gateway.
    store_write_agent(gateway_state& state, send_function send);
    store_write_agent(const store_write_agent&) = delete;
    store_write_agent& operator=(const store_write_agent&) = delete;

    // From now on, tells of the writes of `store`, and passes those of other gateways on
    // to it. Both must live until the last callback of the loop.
    void connect(store_client& store);

    // To be called with each datagram that another gateway sent. Returns false for one
    // that is of another kind.
    bool on_datagram(std::string_view datagram);

private:
    void set_fleet();
    void tell(store_revision at);

    gateway_state& state_;
    send_function send_;
    store_client* store_ = nullptr;  // null until connect()
    std::vector<endpoint> watchers_; // without this gateway
};

} // namespace camphorrock
