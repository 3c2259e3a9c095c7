#include "core/gateway/servers/in_flight_counter.hpp"

namespace camphorrock
{
unsigned in_flight_counter::reserve(const reservation& it, time_point now)
{
    expire(now);
    const unsigned others =
        requests_at(it.server) - static_cast<unsigned>(ends_.count(it));
    const bool is_new =
        ends_.size() < max_reservations_ && ends_.try_emplace(it, now + lifetime_).second;
    if (is_new)
    {
        ++counts_[it.server];
        expiries_.push_back({now + lifetime_, it});
    }
    return others;
}

void in_flight_counter::release(const reservation& it)
{
    if (ends_.erase(it) == 0)
    {
        return;
    }
    const auto count = counts_.find(it.server);
    if (--count->second == 0)
    {
        counts_.erase(count);
    }
}

void in_flight_counter::expire(time_point now)
{
    while (!expiries_.empty() && expiries_.front().at <= now)
    {
        const expiry& first = expiries_.front();
        const auto found = ends_.find(first.held);
        if (found != ends_.end() && found->second == first.at)
        {
            release(first.held);
        }
        expiries_.pop_front();
    }
}

unsigned in_flight_counter::requests_at(server_tag server) const
{
    const auto found = counts_.find(server);
    return found == counts_.end() ? 0 : found->second;
}

std::vector<fleet_gateway>
gateways_that_count_requests(const std::vector<fleet_gateway>& fleet)
{
    const bool is_one_group =
        fleet.size() <= gateway_group_options().max_single_group_size;
    return is_one_group ? std::vector<fleet_gateway>() : fleet;
}

} // namespace camphorrock
