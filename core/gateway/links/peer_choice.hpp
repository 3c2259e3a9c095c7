#pragma once

// Chooses the gateway through which a request goes when this one has no way of its own to
// its server.
//
//     peers.set_fleet(fleet, self);
//     if (const auto to = peers.choose(excluded, random, now)) { peers.started(*to); ...
//     } peers.ended(*to, peer_end::taken, now);
//
// Three gateways are drawn, one of them in the own data centre if there is one, and the
// one with the fewest of this gateway's requests is taken; one in another data centre
// counts as if it had `remote_zone_cost` more. One that did not take a request on, or
// could not be reached, is left out for a while, and so is one that has told that it is
// cut off.
//
// A gateway that has lost several requests to peers in a row, and none was taken or
// declined in between, is taken to reach no other gateway: none is chosen for a while, so
// that its clients are refused at once.
//
// Memory: one row for each gateway that has requests from here or is left out. A choice
// costs O(gateways).

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/gateway/fleet/gateway_groups.hpp"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace camphorrock
{

enum class peer_end
{
    taken,    // it took the request on
    declined, // it did not, for now
    lost,     // it could not be reached, or its answer was lost
};

struct peer_choice_options
{
    unsigned remote_zone_cost = 3; // in requests in flight
    unsigned max_in_flight = 20;   // at one gateway, from this one
    duration declined_pause = milliseconds(500);
    duration lost_pause = seconds(1);
    unsigned losses_to_isolation = 3;
    duration isolation_pause = milliseconds(300); // until one is tried again
    // A gateway that is cut off says so again before this has passed.
    duration cut_off_memory = seconds(5);
};

class peer_choice
{
public:
    explicit peer_choice(peer_choice_options options = {}) : options_(options) {}

    // `self` is this gateway's entry; it is never chosen.
    void set_fleet(const std::vector<fleet_gateway>& fleet, const fleet_gateway& self);

    // Empty if no gateway may be chosen.
    std::optional<endpoint> choose(const std::vector<endpoint>& excluded,
                                   std::minstd_rand& random,
                                   time_point now) const;

    void started(const endpoint& peer);
    // A request that was started there has ended.
    void ended(const endpoint& peer, peer_end how, time_point now);

    // The peer has told that it reaches no server, or that it does again.
    void note_cut_off(const endpoint& peer, bool is_cut_off, time_point now);

private:
    struct row
    {
        unsigned in_flight = 0;
        time_point left_out_until{};
        time_point cut_off_until{};
    };

    bool is_candidate(const fleet_gateway& it,
                      const std::vector<endpoint>& excluded,
                      time_point now) const;
    unsigned cost(const fleet_gateway& it) const;

    peer_choice_options options_;
    std::vector<fleet_gateway> others_;
    data_centre zone_;
    std::map<endpoint, row> rows_;
    unsigned losses_ = 0; // consecutive
    time_point isolated_until_{};
};

} // namespace camphorrock
