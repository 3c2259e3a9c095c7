#pragma once

// Chooses the router for an attempt as the platform's load balancer would: at random,
// without the routers that have failed a short time ago.
//
//     router_choice routers(endpoints, seconds(1));
//     endpoint to = routers.pick(random, now);
//     routers.eject(to, now);

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <random>
#include <vector>

namespace camphorrock
{

class router_choice
{
public:
    // pick() requires at least one router. eject() excludes a router for `eject_time`.
    router_choice(const std::vector<endpoint>& routers, duration eject_time);

    // Returns a random router that is not ejected, or any router if all are.
    endpoint pick(std::mt19937_64& random, time_point now) const;

    std::size_t size() const
    {
        return candidates_.size();
    }

    // Excludes a router that failed at `now`.
    void eject(const endpoint& router, time_point now);

private:
    struct candidate
    {
        endpoint router;
        time_point ejected_until;
    };

    std::vector<candidate> candidates_;
    duration eject_time_;
};

} // namespace camphorrock
