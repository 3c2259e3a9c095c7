#pragma once

// Divides a large fleet of gateways into groups, each with servers of its own, so that
// what a gateway has to know and to keep open does not grow with the fleet.
//
//     gateway_groups groups = gateway_groups::create(fleet, self);
//     for (const endpoint& it : groups.members()) tell_load(it);
//     std::set<server_id> near = groups.near_servers(servers);
//
// A fleet of at most `undivided` gateways is one group, and all servers are near. Else
// the gateways of each data centre form groups of `size` or fewer, and each server of the
// data centre is near to one of them. The members of a group tell one another of their
// requests, so that they know in full how busy the near servers are. Servers of other
// groups are for what does not fit.
//
// All gateways that know the same fleet and the same servers divide them alike. A server
// that comes or goes moves few others.

#include "core/base/names.hpp"
#include "core/gateway/server_directory.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace camphorrock
{

// A gateway of the fleet, as the others know it.
struct fleet_gateway
{
    endpoint peer;
    data_centre zone;
    unsigned processor_percent = 100; // of one core, that it may use

    auto operator<=>(const fleet_gateway&) const = default;
};

// Tells whether two gateways know the same fleet. The order does not matter.
std::uint64_t fleet_tag(std::vector<fleet_gateway> fleet);

struct gateway_group_options
{
    std::size_t undivided = 16; // gateways that form one group
    std::size_t size = 12;      // gateways of a group of a larger fleet, at most
};

class gateway_groups
{
public:
    // One group without members.
    gateway_groups() = default;

    static gateway_groups create(std::vector<fleet_gateway> fleet,
                                 const fleet_gateway& self, // may be missing there
                                 gateway_group_options options = {});

    // Of this gateway's group, itself included; sorted.
    const std::vector<endpoint>& members() const
    {
        return members_;
    }

    bool is_undivided() const
    {
        return is_undivided_;
    }

    // Of the servers of one service. O(servers x groups).
    std::set<server_id>
    near_servers(const std::vector<const known_server*>& servers) const;

private:
    std::vector<endpoint> members_;
    data_centre zone_;
    std::size_t groups_ = 1; // of the data centre
    std::size_t own_ = 0;    // this gateway's group among them
    bool is_undivided_ = true;
};

} // namespace camphorrock
