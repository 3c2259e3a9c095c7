#pragma once

// Divides a large fleet of gateways into groups, each with its own servers, so that the
// state and the connections that a gateway keeps do not grow with the fleet.
//
//     gateway_groups groups = gateway_groups::create(fleet, self);
//     for (const endpoint& it : groups.members()) report_load(it);
//     std::set<server_id> in_group = groups.in_group_servers(servers);
//
// A fleet of at most `max_single_group_size` gateways is one group, to which all servers
// are assigned. In a larger fleet, the gateways of each data centre form groups of at
// most `max_group_size`, and each server of the data centre is assigned to one group. The
// members of a group report their requests to one another, so that each knows the full
// load of the in-group servers. Servers of other groups take the requests that exceed the
// capacity of the in-group servers.
//
// All gateways that know the same fleet and the same servers divide them in the same way.
// Adding or removing a server reassigns few others.

#include "core/base/names.hpp"
#include "core/gateway/servers/server_directory.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace camphorrock
{

// What the other gateways know of a gateway of the fleet.
struct fleet_gateway
{
    endpoint peer;
    data_centre zone;
    unsigned processor_percent = 100; // of one core, that the gateway may use

    auto operator<=>(const fleet_gateway&) const = default;
};

// A gateway that does not know its fleet takes its share of what the fleet may do for one
// of a fleet of this size: all gateways may have started at once.
constexpr std::size_t assumed_fleet_size = 1024;

// A hash of the fleet, whatever the order of its gateways. Gateways compare it to check
// that they know the same fleet.
std::uint64_t fleet_hash(std::vector<fleet_gateway> fleet);

struct gateway_group_options
{
    std::size_t max_single_group_size = 16; // gateways, at most, that form one group
    std::size_t max_group_size = 12; // gateways, at most, in a group of a larger fleet
};

class gateway_groups
{
public:
    // One group without members.
    gateway_groups() = default;

    static gateway_groups create(std::vector<fleet_gateway> fleet,
                                 const fleet_gateway& self, // may be missing from `fleet`
                                 gateway_group_options options = {});

    // The gateways of this gateway's group, itself included; sorted.
    const std::vector<endpoint>& members() const
    {
        return members_;
    }

    bool is_single_group() const
    {
        return is_single_group_;
    }

    // The servers, of those of one service, that are assigned to this gateway's group.
    // O(servers x (groups + log servers)).
    std::set<server_id>
    in_group_servers(const std::vector<const known_server*>& servers) const;

private:
    std::vector<endpoint> members_;
    data_centre zone_;
    std::size_t group_count_ = 1; // in the data centre
    std::size_t own_group_ = 0;   // the index of this gateway's group
    bool is_single_group_ = true;
};

} // namespace camphorrock
