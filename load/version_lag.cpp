#include "load/version_lag.hpp"

#include <algorithm>
#include <cstddef>

namespace camphorrock
{

void version_lag::on_accepted(config_version version, time_point at)
{
    bool is_new = accepted_.try_emplace(version, at).second;
    for (const auto& [router, observed] : observed_)
    {
        if (is_new && version <= observed)
        {
            lags_.emplace_back(0);
        }
    }
}

void version_lag::on_observed(const endpoint& router,
                              config_version version,
                              time_point at)
{
    auto [observed, is_first] = observed_.try_emplace(router, version);
    if (is_first || version <= observed->second)
    {
        return;
    }
    auto it = accepted_.upper_bound(observed->second);
    for (; it != accepted_.end() && it->first <= version; ++it)
    {
        lags_.push_back(at - it->second);
    }
    observed->second = version;
}

duration version_lag::quantile(double fraction) const
{
    if (lags_.empty())
    {
        return duration(0);
    }
    std::vector<duration> sorted = lags_;
    std::sort(sorted.begin(), sorted.end());
    auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(fraction * last)];
}

} // namespace camphorrock
