#pragma once

// How long keys could not be served, from the results of probes. A key is unavailable
// from the sending of the first probe that fails to the end of the next one that is sent
// later and succeeds.

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
    bool is_served = false;
};

class availability
{
public:
    // Results may come in any order. Memory: one entry a probe.
    void add(const std::string& key, probe_result result);

    // The longest unavailable time of each key, ascending. A key that is unavailable at
    // the end counts up to `finished`.
    std::vector<duration> longest(time_point finished) const;

private:
    std::map<std::string, std::vector<probe_result>> probes_;
};

} // namespace camphorrock
