#pragma once

// Counts the requests in flight at servers, of all gateways of a large fleet. Each server
// has one gateway that counts for it, see counting_gateways.hpp; the others reserve
// there before they send a request to the server, and release after its end.
//
//     const unsigned before = counter.reserve({tag, id}, now);
//     counter.release({tag, id});
//
// The messages may be lost. A reservation that is not released ends after `lifetime`.
//
// Memory: one row per reservation, at most `max_reservations`; further ones are not
// counted. Each call costs O(log reservations), and expire() in addition what it removes.

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/gateway/fleet/gateway_groups.hpp"
#include "core/gateway/servers/remote_loads.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace camphorrock
{

// Identifies one attempt of a request at a server.
struct reservation
{
    server_tag server;
    std::uint64_t id = 0; // random, drawn by the gateway that sends the request

    auto operator<=>(const reservation&) const = default;
};

class in_flight_counter
{
public:
    explicit in_flight_counter(duration lifetime = seconds(4),
                               std::size_t max_reservations = 65536)
        : lifetime_(lifetime), max_reservations_(max_reservations)
    {
    }

    // Returns the number of other requests in flight at the server. A repeated call for
    // the same reservation counts once.
    unsigned reserve(const reservation& it, time_point now);

    // No effect on a reservation that does not exist, or no longer.
    void release(const reservation& it);

    // Removes the reservations that have reached their lifetime.
    void expire(time_point now);

    unsigned requests_at(server_tag server) const;

private:
    struct expiry
    {
        time_point at{};
        reservation held;
    };

    duration lifetime_;
    std::size_t max_reservations_;
    std::map<reservation, time_point> ends_; // of each reservation that is not released
    std::map<server_tag, unsigned> counts_;
    std::deque<expiry> expiries_; // in the order of their times; may have been released
};

// The gateways that are asked to count requests in flight: none of a fleet that is one
// group, whose members report them to each other.
std::vector<fleet_gateway>
gateways_that_count_requests(const std::vector<fleet_gateway>& fleet);

} // namespace camphorrock
