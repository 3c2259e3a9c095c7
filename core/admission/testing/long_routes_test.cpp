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
constexpr unsigned ramp_up_requests = 30;

// A queue that has served only reports, until its limit has reached all three slots.
struct queue_after_reports
{
    explicit queue_after_reports(bool is_declared) : is_declared_long(is_declared)
    {
        for (unsigned n = 0; n < ramp_up_requests; ++n)
        {
            serve(report, report_time);
        }
    }

    ticket arrive(const route_class& route)
    {
        queued_request request{{next_id++}, adjuster, route, now + seconds(60)};
        request.is_declared_long = is_declared_long && route == report;
        queue->arrive(request, now, out);
        return request.id;
    }

    void serve(const route_class& route, duration time)
    {
        const ticket id = arrive(route);
        now += time;
        queue->finished(id, {answer_kind::good, time}, now, out);
    }

    // Returns how many of three reports start at once.
    std::size_t started_of_three()
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
    std::uint64_t next_id = 0;
    time_point now{seconds(100)};
};

} // namespace

TEST_CASE("requests of a route that is declared long do not take all slots")
{
    GIVEN("a route that is not declared long and is the only one")
    {
        queue_after_reports it(false);

        THEN("it counts as short and its requests take all slots")
        {
            CHECK(it.started_of_three() == 3);
        }
    }
    GIVEN("a route that is declared long and is the only one")
    {
        queue_after_reports it(true);

        THEN("it counts as long although there is no shorter route")
        {
            CHECK(it.started_of_three() < 3);
        }
        THEN("its measured times decide once another route has been measured")
        {
            for (unsigned n = 0; n < ramp_up_requests; ++n)
            {
                it.serve(lookup, lookup_time);
            }
            service_time_table times({});
            for (unsigned n = 0; n < ramp_up_requests; ++n)
            {
                times.observe(adjuster, lookup, lookup_time);
                times.observe(adjuster, report, lookup_time);
            }
            CHECK(it.queue->service_times().estimate(adjuster, report, true).is_long);
            CHECK_FALSE(times.estimate(adjuster, report, true).is_long);
        }
    }
}
