#include "bench/queue/named_policy.hpp"

#include "bench/queue/direct_queue.hpp"
#include "bench/queue/simple_queue.hpp"
#include "core/admission/server_queue.hpp"

#include <limits>

namespace camphorrock
{
namespace
{

// The number of routers that one operator runs, from the requirements.
constexpr std::size_t router_count = 10;

named_policy
simple_policy(std::string name, bool cancels_at_deadline, simple_queue_options options)
{
    return {std::move(name),
            cancels_at_deadline,
            [options](std::size_t slots, std::mt19937_64&)
            {
                simple_queue_options adjusted = options;
                adjusted.slots = slots;
                return std::make_unique<simple_queue>(adjusted);
            }};
}

named_policy direct_policy(std::string name, simple_queue_options options)
{
    options.slots = 1;
    return {std::move(name),
            true,
            [options](std::size_t, std::mt19937_64&)
            {
                return std::make_unique<direct_queue>(router_count, options);
            }};
}

named_policy server_queue_policy(std::string name, server_queue_options options)
{
    return {std::move(name),
            true,
            [options](std::size_t slots, std::mt19937_64& random)
            {
                server_queue_options adjusted = options;
                adjusted.slots = slots;
                return server_queue::create(adjusted, random).value();
            }};
}

// The versions differ in their options only. Changes that replaced code apply to all of
// them: the service time bound of version 4, the in-flight limit of version 7, the number
// of slots in the wait estimate and the use of idle slots of versions 13 to 15, and what
// is learned from slow answers in version 16. See docs/POLICY.md.

// Admits every request that can still finish in time. The callers take turns, and long
// requests go first.
server_queue_options v2_options()
{
    server_queue_options it;
    it.max_wait_fraction = 1;
    it.fairness.burst = duration(0);
    it.long_deferral_fraction = 0;
    it.slow_bound_factor = std::numeric_limits<double>::infinity();
    it.low_short_load = 0;
    it.min_long_fraction = 1;
    return it;
}

// Admits requests whose expected wait is at most half of their slack.
server_queue_options v3_options()
{
    server_queue_options it = v2_options();
    it.max_wait_fraction = 0.5;
    return it;
}

// Serves callers in the order of arrival as long as they stay within their fair share.
server_queue_options v5_options()
{
    server_queue_options it = v3_options();
    it.fairness.burst = milliseconds(100);
    return it;
}

// Long requests yield to short ones for a fraction of their slack.
server_queue_options v6_options()
{
    server_queue_options it = v5_options();
    it.long_deferral_fraction = 0.75;
    return it;
}

// Counts answers that are much slower than expected as failures.
server_queue_options v8_options()
{
    server_queue_options it = v6_options();
    it.slow_bound_factor = 1.5;
    return it;
}

// Gives long requests one more slot while the load of short ones is very low.
server_queue_options v9_options()
{
    server_queue_options it = v8_options();
    it.low_short_load = 0.01;
    return it;
}

// Long requests overtake waiting short ones for at most a tenth of the slot time.
server_queue_options v10_options()
{
    server_queue_options it = v9_options();
    it.min_long_fraction = 0.1;
    return it;
}

// Admits requests whose expected wait is at most three quarters of their slack.
server_queue_options v11_options()
{
    server_queue_options it = v10_options();
    it.max_wait_fraction = 0.75;
    return it;
}

// Halves that fraction of the slot time. Versions 12 to 15 have the same options.
server_queue_options v16_options()
{
    server_queue_options it = v11_options();
    it.min_long_fraction = 0.05;
    return it;
}

std::vector<named_policy> all_policies()
{
    return {simple_policy("fifo", false, {}),
            simple_policy("fifo-cancel", true, {}),
            direct_policy("direct", {}),
            simple_policy("priority", true, {.prioritizes_short = true}),
            simple_policy(
                "cap-2-long", true, {.prioritizes_short = true, .max_long_in_flight = 2}),
            simple_policy(
                "cap-1-long", true, {.prioritizes_short = true, .max_long_in_flight = 1}),
            server_queue_policy("v2", v2_options()),
            server_queue_policy("v3", v3_options()),
            server_queue_policy("v5", v5_options()),
            server_queue_policy("v6", v6_options()),
            server_queue_policy("v8", v8_options()),
            server_queue_policy("v9", v9_options()),
            server_queue_policy("v10", v10_options()),
            server_queue_policy("v11", v11_options()),
            server_queue_policy("v16", v16_options())};
}

} // namespace

const std::vector<named_policy>& named_policies()
{
    static const std::vector<named_policy> all = all_policies();
    return all;
}

const named_policy& fifo_policy()
{
    return named_policies().front();
}

} // namespace camphorrock
