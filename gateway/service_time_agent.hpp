#pragma once

// Reports the service times that this gateway measures at owners of keys to the assigner,
// and collects the reports of the others while this gateway is the assigner. A report
// that is lost only makes the assigner's estimates older.

#include "gateway/gateway_state.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <string_view>

namespace camphorrock
{

class service_time_agent
{
public:
    using send_function = std::function<void(const endpoint&, std::string_view)>;

    // `loop` and `state` must outlive the agent. `send` sends a datagram to a gateway.
    service_time_agent(event_loop& loop, gateway_state& state, send_function send);
    service_time_agent(const service_time_agent&) = delete;
    service_time_agent& operator=(const service_time_agent&) = delete;

    // To be called with each datagram that another gateway sent. Returns false for one
    // that is of another kind.
    bool on_datagram(std::string_view datagram);

private:
    void report();
    void send(const std::vector<server_service_time>& measured);

    event_loop& loop_;
    gateway_state& state_;
    send_function send_;
    timer_handle report_timer_;
};

} // namespace camphorrock
