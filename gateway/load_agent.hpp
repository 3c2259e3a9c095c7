#pragma once

// Tells other gateways of this one's requests in flight, and keeps what they tell, so
// that all of them together see how busy a server is.
//
// Each gateway tells the members of its group, so that each hears of as many, whatever
// the size of the fleet.

#include "core/gateway/remote_loads.hpp"
#include "gateway/gateway_state.hpp"
#include "net/event_loop.hpp"
#include "net/udp_socket.hpp"

#include <memory>
#include <vector>

namespace camphorrock
{

class load_agent
{
public:
    // All must outlive the agent. Fails with error_code::io if the peer address cannot be
    // bound for datagrams.
    static result<std::unique_ptr<load_agent>> create(event_loop& loop,
                                                      gateway_state& state);

    load_agent(const load_agent&) = delete;
    load_agent& operator=(const load_agent&) = delete;

private:
    load_agent(event_loop& loop, gateway_state& state);
    void send();
    void received(std::string_view datagram);

    event_loop& loop_;
    gateway_state& state_;
    std::unique_ptr<udp_socket> socket_;
    remote_loads remote_;
    gateway_load last_;
    time_point last_sent_{};
    timer_handle send_timer_;
};

} // namespace camphorrock
