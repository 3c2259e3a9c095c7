#include "load/availability.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

duration longest_outage_of(std::vector<probe_result> probes, time_point until)
{
    std::sort(probes.begin(),
              probes.end(),
              [](const probe_result& one, const probe_result& other)
              { return one.sent < other.sent; });
    duration longest{};
    bool is_unavailable = false;
    time_point unavailable_since;
    for (const probe_result& it : probes)
    {
        if (!it.is_served)
        {
            unavailable_since = is_unavailable ? unavailable_since : it.sent;
            is_unavailable = true;
        }
        else if (is_unavailable)
        {
            longest = std::max(longest, it.ended - unavailable_since);
            is_unavailable = false;
        }
    }
    return is_unavailable ? std::max(longest, until - unavailable_since) : longest;
}

} // namespace

void availability::add_probe(const std::string& key, probe_result result)
{
    probes_[key].push_back(result);
}

std::vector<duration> availability::longest_outages(time_point until) const
{
    std::vector<duration> out;
    for (const auto& [key, probes] : probes_)
    {
        out.push_back(longest_outage_of(probes, until));
    }
    std::sort(out.begin(), out.end());
    return out;
}

} // namespace camphorrock
