#include "bench/queue/named_policy.hpp"

#include "bench/queue/direct_queue.hpp"
#include "bench/queue/simple_queue.hpp"
#include "core/admission/server_queue.hpp"

#include <limits>

namespace camphorrock
{
namespace
{

// Routers of one operator, as in the brief.
constexpr std::size_t router_count = 10;

named_policy
simple(std::string name, bool sees_callers_leave, simple_queue_options options)
{
    return {std::move(name),
            sees_callers_leave,
            [options](std::size_t slots, std::mt19937_64&)
            {
                simple_queue_options adjusted = options;
                adjusted.slots = slots;
                return std::make_unique<simple_queue>(adjusted);
            }};
}

named_policy direct(std::string name, simple_queue_options each)
{
    each.slots = 1;
    return {std::move(name),
            true,
            [each](std::size_t, std::mt19937_64&)
            {
                return std::make_unique<direct_queue>(router_count, each);
            }};
}

named_policy own(std::string name, server_queue_options options)
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

// The versions differ in their options; what replaced code outright (the bound of service
// times in version 4, the limit in version 7, the slots that a wait is reckoned with and
// the use of idle slots in versions 13 to 15, what is learned of slow answers in version
// 16) holds for all. See docs/POLICY.md.

// Admits whatever may still end in time, in turns of the callers, long work first.
server_queue_options version_2()
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

// Admits what is expected to use half of the time that it has to spare.
server_queue_options version_3()
{
    server_queue_options it = version_2();
    it.max_wait_fraction = 0.5;
    return it;
}

// Callers in the order of arrival while they keep to their share.
server_queue_options version_5()
{
    server_queue_options it = version_3();
    it.fairness.burst = milliseconds(100);
    return it;
}

// Long requests let short ones go first for a part of their time to spare.
server_queue_options version_6()
{
    server_queue_options it = version_5();
    it.long_deferral_fraction = 0.75;
    return it;
}

// Answers much slower than expected count as bad.
server_queue_options version_8()
{
    server_queue_options it = version_6();
    it.slow_bound_factor = 1.5;
    return it;
}

// One more slot for long work while hardly any short work comes.
server_queue_options version_9()
{
    server_queue_options it = version_8();
    it.low_short_load = 0.01;
    return it;
}

// Long work goes before short work that waits for a tenth of the slot time only.
server_queue_options version_10()
{
    server_queue_options it = version_9();
    it.min_long_fraction = 0.1;
    return it;
}

// Admits what is expected to use three quarters of the time that it has to spare.
server_queue_options version_11()
{
    server_queue_options it = version_10();
    it.max_wait_fraction = 0.75;
    return it;
}

// Half as much of a crest for long work. Also the options of versions 12 to 15.
server_queue_options version_16()
{
    server_queue_options it = version_11();
    it.min_long_fraction = 0.05;
    return it;
}

std::vector<named_policy> all_policies()
{
    return {simple("fifo", false, {}),
            simple("fifo-cancel", true, {}),
            direct("direct", {}),
            simple("priority", true, {.short_first = true}),
            simple("cap-2-long", true, {.short_first = true, .max_long = 2}),
            simple("cap-1-long", true, {.short_first = true, .max_long = 1}),
            own("v2", version_2()),
            own("v3", version_3()),
            own("v5", version_5()),
            own("v6", version_6()),
            own("v8", version_8()),
            own("v9", version_9()),
            own("v10", version_10()),
            own("v11", version_11()),
            own("v16", version_16())};
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
