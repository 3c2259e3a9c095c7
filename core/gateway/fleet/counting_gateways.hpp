#pragma once

// Chooses the gateway that counts for something on behalf of the fleet, such as a server
// or a service: the first one in rank that is not silent.
//
//     gateways.set_fleet(fleet, self);
//     if (const std::optional<endpoint> to = gateways.choose(name, now)) ask(*to);
//     gateways.note_reply(*to);                 // or note_missed_reply(*to, now)
//
// All gateways that know the same fleet rank alike; removing one gateway changes the rank
// only for the names for which it counted. A choice costs O(gateways).
//
// Memory: one row for each gateway that has missed a reply lately.

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/gateway/fleet/gateway_groups.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorrock
{

// The gateways that count for the name, the preferred one first and at most `n`.
std::vector<endpoint> ranked_gateways_of(const std::vector<fleet_gateway>& fleet,
                                         const std::string& name,
                                         std::size_t n);

struct counting_gateways_options
{
    std::size_t per_name = 2; // the next one counts while the preferred one is silent
    // Consecutive; datagrams are lost now and then, which is no silence.
    unsigned missed_replies_to_silence = 3;
    duration silence_time = seconds(2); // a silent gateway is not asked
};

class counting_gateways
{
public:
    explicit counting_gateways(counting_gateways_options options = {}) : options_(options)
    {
    }

    // `self` is the address of this gateway.
    void set_fleet(const std::vector<fleet_gateway>& fleet, const endpoint& self);

    const std::vector<fleet_gateway>& fleet() const
    {
        return fleet_;
    }

    const endpoint& self() const
    {
        return self_;
    }

    // Empty if the fleet is not known, or if all that count for the name are silent.
    std::optional<endpoint> choose(const std::string& name, time_point now) const;

    // True if this gateway is the first in rank.
    bool is_preferred(const std::string& name) const;

    void note_reply(const endpoint& from);
    void note_missed_reply(const endpoint& from, time_point now);

    // Drops what is idle. To be called now and then.
    void expire(time_point now);

private:
    struct health
    {
        unsigned missed_replies = 0; // consecutive
        time_point silent_until{};
    };

    counting_gateways_options options_;
    std::vector<fleet_gateway> fleet_;
    endpoint self_;
    std::map<endpoint, health> missed_;
};

} // namespace camphorrock
