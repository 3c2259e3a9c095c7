#include "core/gateway/limits/random_permits.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// No pause between two permits is longer.
constexpr double max_pause_seconds = 600;

duration random_pause(double permits_per_second, std::minstd_rand& random)
{
    std::exponential_distribution<double> pause(permits_per_second);
    const double drawn = std::min(pause(random), max_pause_seconds);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(drawn));
}

} // namespace

token_decision random_permits::take(const server_id& server,
                                    double rate,
                                    std::size_t gateways,
                                    duration max_wait,
                                    std::minstd_rand& random,
                                    time_point now)
{
    const double per_gateway = rate * options_.permit_share /
                               static_cast<double>(std::max<std::size_t>(gateways, 1));
    const auto [found, is_new] = next_at_.try_emplace(server);
    time_point& next_at = found->second;
    const bool is_void = is_new || now > next_at + options_.validity;
    if (is_void)
    {
        next_at = now + random_pause(per_gateway, random);
    }
    const duration wait = std::max<duration>(next_at - now, duration::zero());
    if (wait > max_wait)
    {
        return {false, wait};
    }
    next_at = std::max(next_at, now) + random_pause(per_gateway, random);
    return {true, wait};
}

void random_permits::expire(time_point now)
{
    std::erase_if(next_at_,
                  [&](const auto& it) { return now - it.second >= options_.idle_time; });
}

} // namespace camphorrock
