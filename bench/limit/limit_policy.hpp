#pragma once

// Ways to keep a fleet of gateways within the rate limit of one server, for comparison
// with the tokens of core/gateway/limits/token_exchange.hpp. They need no network: what
// one gateway learns of the others is simulated by a delay.

#include "core/base/time.hpp"
#include "core/gateway/limits/token_counter.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace camphorrock
{

class limit_policy
{
public:
    virtual ~limit_policy() = default;

    // A client's request reached that gateway. A refusal has no time to ask again.
    virtual token_decision request(unsigned gateway, time_point now) = 0;
};

struct limit_policy_options
{
    unsigned gateways = 10;
    double limit = 3.1;  // requests a second
    duration max_wait{}; // of a request
};

// Each gateway sends the same share of the limit.
std::unique_ptr<limit_policy> make_equal_split(const limit_policy_options& options);

// Each gateway sends a share of the limit in proportion to the requests that it got in
// the last second before; all shares are known everywhere at once.
std::unique_ptr<limit_policy> make_demand_split(const limit_policy_options& options);

// One token bucket that all gateways reach without delay or loss.
std::unique_ptr<limit_policy> make_central_bucket(const limit_policy_options& options);

} // namespace camphorrock
