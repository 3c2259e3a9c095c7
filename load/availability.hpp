#pragma once

// Computes from probe results how long each key was unavailable. An outage of a key
// begins when the first failing probe is sent, and lasts until a probe that is sent later
// succeeds and ends.

#include "core/base/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorrock
{

struct probe_result
{
    time_point sent;
    time_point ended;
    bool is_served = false; // a server ran the request and answered 200
};

class availability
{
public:
    // Results may be added in any order. Keeps one entry per probe.
    void add_probe(const std::string& key, probe_result result);

    // Returns the duration of the longest outage of each key, in ascending order; 0 for a
    // key without an outage. An outage that has not ended counts up to `until`.
    std::vector<duration> longest_outages(time_point until) const;

private:
    std::map<std::string, std::vector<probe_result>> probes_;
};

} // namespace camphorrock
