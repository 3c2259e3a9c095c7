#include "core/gateway/servers/latency_limit.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// Where the service time alone uses the target up, a queue of this part of it keeps the
// slots busy.
constexpr int service_time_per_queueing = 2;
constexpr duration longest_untested = seconds(1);

// More than one request would wait.
bool has_queue(const server_choice& to)
{
    return to.load > to.slots;
}

} // namespace

duration latency_limit(const server_choice& to, const answer_terms& terms)
{
    if (!has_queue(to))
    {
        return terms.time_left;
    }
    const duration with_queue =
        to.expected_service + to.expected_service / service_time_per_queueing;
    return std::min(terms.time_left, std::max(terms.target, with_queue));
}

bool is_worth_sending(const server_choice& to, duration limit)
{
    const bool is_probe = to.evidence.is_probe_due && limit > duration::zero();
    return to.expected_latency <= limit || is_probe;
}

rejected_latency make_rejected_latency(const server_choice& to, duration limit)
{
    return {to.expected_latency, limit, to.evidence, has_queue(to), to.load};
}

bool is_stale(const rejected_latency& it)
{
    return !it.has_queue && it.limit > duration::zero() &&
           it.evidence.untested > longest_untested;
}

} // namespace camphorrock
