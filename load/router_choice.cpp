#include "load/router_choice.hpp"

namespace camphorrock
{

router_choice::router_choice(const std::vector<endpoint>& routers, duration eject_time)
    : eject_time_(eject_time)
{
    for (const endpoint& it : routers)
    {
        candidates_.push_back({it, time_point()});
    }
}

endpoint router_choice::pick(std::mt19937_64& random, time_point now) const
{
    std::vector<const candidate*> available;
    for (const candidate& it : candidates_)
    {
        if (it.ejected_until <= now)
        {
            available.push_back(&it);
        }
    }
    if (available.empty())
    {
        return candidates_[random() % candidates_.size()].router;
    }
    return available[random() % available.size()]->router;
}

void router_choice::eject(const endpoint& router, time_point now)
{
    for (candidate& it : candidates_)
    {
        if (it.router == router)
        {
            it.ejected_until = now + eject_time_;
        }
    }
}

} // namespace camphorrock
