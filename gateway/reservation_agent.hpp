#pragma once

// Reserves at the gateway that counts the requests in flight at a server, and counts for
// the servers for which this gateway was chosen. Used for the owners of keys in a large
// fleet: any gateway may send to an owner, and only the sum of all tells how busy it is.
//
// The messages are datagrams. Without a reply within `reply_timeout` the request goes on
// without the count, and the silent gateway is not asked for a while.

#include "codec/reservation_codec.hpp"
#include "core/gateway/fleet/counting_gateways.hpp"
#include "core/gateway/servers/in_flight_counter.hpp"
#include "gateway/gateway_state.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace camphorrock
{

class reservation_agent
{
public:
    using send_function = std::function<void(const endpoint&, std::string_view)>;
    // Gets the number of other requests in flight at the server, or nullopt if it is not
    // known.
    using reply_callback = std::function<void(std::optional<unsigned>)>;

    // `loop` and `state` must outlive the agent. `send` sends a datagram to a gateway.
    reservation_agent(event_loop& loop, gateway_state& state, send_function send);
    reservation_agent(const reservation_agent&) = delete;
    reservation_agent& operator=(const reservation_agent&) = delete;

    // Reserves at the gateway that counts for the server. Returns nullopt, and does not
    // call `done`, if no gateway counts for it. Else calls `done` once, possibly before
    // it returns; the caller must call release() with the returned reservation.
    std::optional<reservation> reserve(const server_id& server, reply_callback done);

    // Ends the reservation; `done` is not called any more.
    void release(const reservation& held);

    // The same after `span`, for a request that the server may hold until then.
    void release_after(const reservation& held, duration span);

    // To be called with each datagram that another gateway sent.
    void on_datagram(std::string_view datagram);

private:
    struct pending_reply
    {
        endpoint from;
        reply_callback done;
        timer_handle timeout;
    };

    void set_fleet();
    void on_reply_timeout(std::uint64_t id);
    void end_wait(std::uint64_t id, std::optional<unsigned> requests);

    event_loop& loop_;
    gateway_state& state_;
    send_function send_;
    in_flight_counter counter_;
    // One missed reply is enough: the request goes on without the count.
    counting_gateways gateways_{{.missed_replies_to_silence = 1}};
    std::map<std::uint64_t, pending_reply> pending_replies_; // by reservation id
    std::map<reservation, endpoint> held_;                   // and who counts them
    std::map<reservation, timer_handle> late_releases_;      // of release_after()
};

} // namespace camphorrock
