#pragma once

// How long after its acceptance each router was seen with a version.

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/config/config_version.hpp"

#include <map>
#include <vector>

namespace camphorrock
{

class version_lag
{
public:
    // An operator was told that the version was accepted.
    void on_accepted(config_version version, time_point at);

    // A router was seen with the version. O(new versions * log n).
    void on_seen(const endpoint& router, config_version version, time_point at);

    // The share's quantile over all routers and versions; 0 where none was seen.
    duration quantile(double share) const;

private:
    std::map<config_version, time_point> accepted_;
    std::map<endpoint, config_version> seen_;
    std::vector<duration> lags_;
};

} // namespace camphorrock
