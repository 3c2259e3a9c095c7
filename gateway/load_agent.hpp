#pragma once

// Exchanges UDP reports of requests in flight with other gateways, so that each of them
// knows how busy a server is with the requests of all. Owns the UDP socket, and with it
// the reservations at single servers, the rate limits of servers, the requests that crash
// servers, the gateways that reach none, the service times of owners and the writes to
// the store, see reservation_agent.hpp, limit_agent.hpp, crash_agent.hpp, peer_agent.hpp,
// service_time_agent.hpp and store_write_agent.hpp.
//
// A gateway sends its reports to the members of its group only, so that the number of
// reports that it receives does not grow with the fleet. With them it sends what servers
// have reported of their load to it since the last time.

#include "core/gateway/servers/remote_loads.hpp"
#include "core/gateway/servers/sequence_filter.hpp"
#include "gateway/crash_agent.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/limit_agent.hpp"
#include "gateway/peer_agent.hpp"
#include "gateway/reservation_agent.hpp"
#include "gateway/service_time_agent.hpp"
#include "gateway/store_write_agent.hpp"
#include "net/event_loop.hpp"
#include "net/udp_socket.hpp"

#include <memory>
#include <vector>

namespace camphorrock
{

class load_agent
{
public:
    // `loop`, `state`, `log` and `links` must outlive the agent. Fails with
    // error_code::io if the peer address cannot be bound for UDP.
    static result<std::unique_ptr<load_agent>>
    create(event_loop& loop, gateway_state& state, gateway_log& log, link_agent& links);

    reservation_agent& reservations()
    {
        return reservations_;
    }

    limit_agent& limits()
    {
        return limits_;
    }

    crash_agent& crashes()
    {
        return crashes_;
    }

    peer_agent& peers()
    {
        return peers_;
    }

    store_write_agent& store_writes()
    {
        return store_writes_;
    }

    load_agent(const load_agent&) = delete;
    load_agent& operator=(const load_agent&) = delete;

private:
    load_agent(event_loop& loop,
               gateway_state& state,
               gateway_log& log,
               link_agent& links);
    void send_reports();
    void send_requests(time_point now);
    void send_server_loads(time_point now);
    void send_to_group(std::string_view datagram);
    void send(const endpoint& to, std::string_view datagram);
    void on_datagram(std::string_view datagram);

    event_loop& loop_;
    gateway_state& state_;
    std::unique_ptr<udp_socket> socket_;
    remote_loads remote_; // of the other gateways
    reservation_agent reservations_;
    limit_agent limits_;
    crash_agent crashes_;
    peer_agent peers_;
    service_time_agent service_times_;
    store_write_agent store_writes_;
    gateway_load last_report_;
    std::uint64_t last_server_loads_ = 0; // sequence number
    sequence_filter server_loads_;        // received
    time_point last_sent_{};
    timer_handle send_timer_;
};

} // namespace camphorrock
