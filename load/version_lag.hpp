#pragma once

// Measures how long after the acceptance of a configuration version each router serves
// with it or a newer one.

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
    // An operator received the answer that the version was accepted.
    void on_accepted(config_version version, time_point at);

    // A router reported that it serves with the version. The first report of a router
    // gives no lag. Takes O(new versions * log n) time.
    void on_observed(const endpoint& router, config_version version, time_point at);

    // Returns the quantile of the lags over all routers and versions, for a fraction in
    // [0, 1]; 0 if there are none.
    duration quantile(double fraction) const;

private:
    std::map<config_version, time_point> accepted_; // time of the first answer
    std::map<endpoint, config_version> observed_;   // highest version of each router
    std::vector<duration> lags_;
};

} // namespace camphorrock
