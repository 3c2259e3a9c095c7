#include "app/metrics_registry.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("metrics are exported as Prometheus text")
{
    GIVEN("a registry with a limit of two series per family")
    {
        metrics_registry metrics({2, {milliseconds(1), milliseconds(100), 2}});
        metric_name requests{"requests_total", "requests"};

        WHEN("more callers are counted than the limit allows")
        {
            for (const char* caller : {"a", "b\"", "c", "d"})
            {
                metrics.get_counter(requests, {{"caller", caller}}).add();
            }

            THEN("the later ones share the series \"other\"")
            {
                CHECK(metrics.to_prometheus_text() ==
                      "# HELP requests_total requests\n"
                      "# TYPE requests_total counter\n"
                      "requests_total{caller=\"a\"} 1\n"
                      "requests_total{caller=\"b\\\"\"} 1\n"
                      "requests_total{caller=\"other\"} 2\n");
            }
        }

        WHEN("latencies are recorded")
        {
            latency_histogram& latency = metrics.get_histogram({"wait_seconds", "wait"});
            for (duration it :
                 {duration(0), duration(2000), duration(50000), duration(seconds(5))})
            {
                latency.record(it);
            }

            THEN("the buckets are cumulative and logarithmic")
            {
                CHECK(metrics.to_prometheus_text() ==
                      "# HELP wait_seconds wait\n"
                      "# TYPE wait_seconds histogram\n"
                      "wait_seconds_bucket{le=\"0.001\"} 1\n"
                      "wait_seconds_bucket{le=\"0.01\"} 2\n"
                      "wait_seconds_bucket{le=\"0.1\"} 3\n"
                      "wait_seconds_bucket{le=\"+Inf\"} 4\n"
                      "wait_seconds_sum 5.052\n"
                      "wait_seconds_count 4\n");
            }

            THEN("quantiles are upper bounds, never above the largest value")
            {
                CHECK(latency.quantile(0.5) == milliseconds(10));
                CHECK(latency.quantile(1) == seconds(5));
                CHECK(latency_histogram().quantile(0.99) == duration(0));
            }
        }
    }

    rc::prop("a quantile exceeds the exact one by at most one bucket",
             [](const std::vector<std::uint16_t>& values)
             {
                 RC_PRE(!values.empty());
                 latency_histogram histogram({milliseconds(1), seconds(100), 500});
                 std::vector<duration> exact;
                 for (std::uint16_t it : values)
                 {
                     exact.push_back(milliseconds(1 + it));
                     histogram.record(exact.back());
                 }
                 std::sort(exact.begin(), exact.end());
                 duration median = exact[(exact.size() - 1) / 2];
                 RC_ASSERT(histogram.quantile(0.5) >= median - microseconds(1));
                 RC_ASSERT(histogram.quantile(0.5).count() <= median.count() * 1.024);
             });
}
