#include "core/admission/server_queue.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const caller_name adjuster("adjuster");
const route_class lookup("lookup");
const route_class report("report");
constexpr duration report_time = milliseconds(500);
constexpr duration lookup_time = milliseconds(10);
constexpr unsigned enough_to_ramp = 30;

// A queue that has served reports only.
struct reports_only
{
    explicit reports_only(bool is_declared) : is_declared_long(is_declared)
    {
        for (unsigned n = 0; n < enough_to_ramp; ++n)
        {
            run(report, report_time);
        }
    }

    ticket arrive(const route_class& route)
    {
        queued_request request{{next++}, adjuster, route, now + seconds(60)};
        request.is_declared_long = is_declared_long && route == report;
        queue->arrive(request, now, out);
        return request.id;
    }

    void run(const route_class& route, duration time)
    {
        const ticket id = arrive(route);
        now += time;
        queue->finished(id, {answer_kind::good, time}, now, out);
    }

    std::size_t running_of_three()
    {
        for (unsigned n = 0; n < 3; ++n)
        {
            arrive(report);
        }
        return queue->in_flight();
    }

    bool is_declared_long;
    std::mt19937_64 random{1};
    std::unique_ptr<server_queue> queue = server_queue::create({}, random).value();
    queue_actions out;
    std::uint64_t next = 0;
    time_point now{seconds(100)};
};

} // namespace

TEST_CASE("reports that are declared long leave slots to short work yet to come")
{
    GIVEN("a route that was not declared")
    {
        reports_only it(false);

        THEN("alone it is not long, and takes every slot")
        {
            CHECK(it.running_of_three() == 3);
        }
    }
    GIVEN("a declared one")
    {
        reports_only it(true);

        THEN("it is long although nothing shorter was seen")
        {
            CHECK(it.running_of_three() < 3);
        }
        THEN("what is learned beside another route counts instead")
        {
            for (unsigned n = 0; n < enough_to_ramp; ++n)
            {
                it.run(lookup, lookup_time);
            }
            service_time_table times({});
            for (unsigned n = 0; n < enough_to_ramp; ++n)
            {
                times.observe(adjuster, lookup, lookup_time);
                times.observe(adjuster, report, lookup_time);
            }
            CHECK(it.queue->service_times().estimate(adjuster, report, true).is_long);
            CHECK_FALSE(times.estimate(adjuster, report, true).is_long);
        }
    }
}
