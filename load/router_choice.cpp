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
    std::vector<const candidate*> usable;
    for (const candidate& it : candidates_)
    {
        if (it.back_at <= now)
        {
            usable.push_back(&it);
        }
    }
    if (usable.empty())
    {
        return candidates_[random() % candidates_.size()].router;
    }
    return usable[random() % usable.size()]->router;
}

void router_choice::failed(const endpoint& router, time_point now)
{
    for (candidate& it : candidates_)
    {
        if (it.router == router)
        {
            it.back_at = now + eject_time_;
        }
    }
}

} // namespace camphorrock
