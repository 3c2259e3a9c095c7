#include "bench/queue/named_policy.hpp"

#include "bench/queue/direct_queue.hpp"
#include "bench/queue/simple_queue.hpp"
#include "core/admission/server_queue.hpp"

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

// Every timeout halves the limit.
server_queue_options version_1()
{
    server_queue_options it;
    it.slow_bounds = 0;
    it.admission_share = 1;
    it.long_deferral = 0;
    it.fairness.burst = milliseconds(0);
    return it;
}

// A timeout halves the limit only where the server was slower than expected.
server_queue_options version_2()
{
    server_queue_options it = version_1();
    it.slow_bounds = 2;
    return it;
}

// Admits what is expected to use half of the time that it has to spare.
server_queue_options version_3()
{
    server_queue_options it = version_2();
    it.admission_share = 0.5;
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
    it.long_deferral = 0.75;
    return it;
}

// The limit falls on a share of bad answers, and to what a shedding server carried.
server_queue_options version_7()
{
    return version_6();
}

// Answers much slower than expected count as bad.
server_queue_options version_8()
{
    server_queue_options it = version_7();
    it.slow_bounds = 1.5;
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
            own("v1", version_1()),
            own("v2", version_2()),
            own("v3", version_3()),
            own("v5", version_5()),
            own("v6", version_6()),
            own("v7", version_7()),
            own("v8", version_8())};
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
