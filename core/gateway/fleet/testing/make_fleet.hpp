#pragma once

// A fleet of gateways for tests.

#include "core/gateway/fleet/gateway_groups.hpp"

#include <string>
#include <vector>

namespace camphorrock::testing
{

// `n` gateways, in turn in each of `zones` data centres.
inline std::vector<fleet_gateway> make_fleet(unsigned n, unsigned zones = 1)
{
    constexpr unsigned per_network = 250;
    std::vector<fleet_gateway> fleet;
    for (unsigned at = 0; at < n; ++at)
    {
        const std::string address = "10.0." + std::to_string(at / per_network) + "." +
                                    std::to_string(at % per_network) + ":1";
        const std::string zone = "z" + std::to_string(at % zones);
        fleet.push_back({endpoint(address), data_centre(zone), 100});
    }
    return fleet;
}

} // namespace camphorrock::testing
