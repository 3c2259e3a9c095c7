#pragma once

// Which router an attempt goes to, as the platform's balancer would choose: one at
// random, but for a while none that has just failed.
//
//     router_choice routers(endpoints, seconds(1));
//     endpoint to = routers.pick(random, now);
//     routers.failed(to, now);

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
    // pick() needs at least one router. A router that failed is passed over for
    // `eject_time`.
    router_choice(const std::vector<endpoint>& routers, duration eject_time);

    // Where all have failed, any of them.
    endpoint pick(std::mt19937_64& random, time_point now) const;

    std::size_t size() const
    {
        return candidates_.size();
    }

    void failed(const endpoint& router, time_point now);

private:
    struct candidate
    {
        endpoint router;
        time_point back_at; // passed over until then
    };

    std::vector<candidate> candidates_;
    duration eject_time_;
};

} // namespace camphorrock
