#pragma once

// Watches this gateway's links to the servers: gives a link_monitor the ends of attempts
// and of orders, and opens the connections of its rounds of probes.
//
// Nothing is sent while the links are up and unsuspected. A probe opens a connection and
// closes it again. The servers of a round are drawn at random from all that are known.

#include "core/gateway/links/link_monitor.hpp"
#include "gateway/gateway_log.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/server_probe.hpp"
#include "net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace camphorrock
{

class link_agent
{
public:
    using attempt_number = std::uint64_t;
    using known_callback = std::function<void(link_state)>;
    using ended_callback = std::function<void(bool has_ended)>;

    // All must outlive the agent. `http` connects to servers.
    link_agent(event_loop& loop,
               gateway_state& state,
               gateway_log& log,
               http_client& http);
    link_agent(const link_agent&) = delete;
    link_agent& operator=(const link_agent&) = delete;

    link_state state() const
    {
        return monitor_.state();
    }

    // An attempt was sent, and its end.
    attempt_number attempt_started(duration expected_latency);
    void
    attempt_ended(attempt_number id, attempt_evidence evidence, const server_id& server);

    // The end of an order to the server.
    void order_ended(attempt_evidence evidence, const server_id& server)
    {
        attempt_ended(0, evidence, server);
    }

    // Finds out whether the server at the address has ended, after an attempt there was
    // cut off. Calls `done` once, not within this call. A server has ended if it refuses
    // a connection while others accept one: if none does, the link may be at fault.
    void check_ended(const endpoint& server, ended_callback done);

    // Calls `done` with up or lost as soon as the links are not suspected: at once, or
    // after the round in flight.
    void when_known(known_callback done);

    // Adds a listener, which is called when the links are lost and when they are back,
    // for as long as the agent exists.
    void on_change(std::function<void()> listener)
    {
        listeners_.push_back(std::move(listener));
    }

private:
    struct round_in_flight
    {
        probe_round result;
        unsigned unanswered = 0; // probes
        time_point started{};
    };

    void confirm_ended(ended_callback done);
    void on_check();
    void update();
    void start_round(unsigned probes);
    std::vector<endpoint> draw_servers(unsigned n) const;
    void on_probe_end(std::uint64_t round, probe_end end);
    void end_round();
    void note_state(link_state before);

    event_loop& loop_;
    gateway_state& state_;
    gateway_log& log_;
    server_probe probe_;
    link_monitor monitor_;
    attempt_number last_attempt_ = 0;
    std::uint64_t round_number_ = 0; // of the round in flight, or of the last one
    bool is_round_in_flight_ = false;
    round_in_flight round_;
    time_point lost_at_{};
    std::vector<known_callback> waiting_;
    std::vector<std::function<void()>> listeners_;
    timer_handle check_timer_;
    time_point last_check_at_{};
    timer_handle empty_round_timer_;
};

} // namespace camphorrock
