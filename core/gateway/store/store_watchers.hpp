#pragma once

// Chooses the gateways of a fleet that watch the store. The others hear of changes from
// them, so that the calls of the store grow with the data centres instead of the
// gateways.
//
//     store.set_watch_sources(watch_sources_of(fleet, self));
//
// In a fleet of at most `max_single_fleet` gateways, `watchers` of them watch the store;
// in a larger one, that many of each data centre. These are the gateways with the most
// processor time. All gateways that know the same fleet choose alike. If they know
// different ones, a gateway may name another that does not watch the store; that one
// refuses, and the gateway watches the store itself.

#include "core/gateway/fleet/gateway_groups.hpp"

#include <cstddef>
#include <vector>

namespace camphorrock
{

struct store_watcher_options
{
    std::size_t watchers = 2; // so that the loss of one leaves the store's load as it is
    std::size_t max_single_fleet = 16; // gateways
};

// Returns the gateways that `self` asks for changes, the preferred one first; none if it
// watches the store itself. O(gateways x log gateways).
std::vector<endpoint> watch_sources_of(const std::vector<fleet_gateway>& fleet,
                                       const fleet_gateway& self,
                                       store_watcher_options options = {});

// Returns the peer addresses of the gateways that watch the store. O(gateways x log
// gateways).
std::vector<endpoint> store_watchers_of(const std::vector<fleet_gateway>& fleet,
                                        store_watcher_options options = {});

} // namespace camphorrock
