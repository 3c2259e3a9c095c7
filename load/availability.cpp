#include "load/availability.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

duration longest_of(std::vector<probe_result> probes, time_point finished)
{
    std::sort(probes.begin(),
              probes.end(),
              [](const probe_result& one, const probe_result& other)
              { return one.sent < other.sent; });
    duration longest{};
    bool is_failing = false;
    time_point failing_since;
    for (const probe_result& it : probes)
    {
        if (!it.is_served)
        {
            failing_since = is_failing ? failing_since : it.sent;
            is_failing = true;
        }
        else if (is_failing)
        {
            longest = std::max(longest, it.ended - failing_since);
            is_failing = false;
        }
    }
    return is_failing ? std::max(longest, finished - failing_since) : longest;
}

} // namespace

void availability::add(const std::string& key, probe_result result)
{
    probes_[key].push_back(result);
}

std::vector<duration> availability::longest(time_point finished) const
{
    std::vector<duration> out;
    for (const auto& [key, probes] : probes_)
    {
        out.push_back(longest_of(probes, finished));
    }
    std::sort(out.begin(), out.end());
    return out;
}

} // namespace camphorrock
