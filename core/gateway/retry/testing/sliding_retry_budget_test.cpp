#include "core/gateway/retry/sliding_retry_budget.hpp"
#include "testing/test_headers.hpp"

#include <deque>

using namespace camphorrock;

TEST_CASE("retries keep to a ratio of the first attempts in any window")
{
    const time_point start{seconds(1000)};

    SECTION("without first attempts and slack, no retry is allowed")
    {
        sliding_retry_budget budget({0.2, 0, seconds(10)});
        CHECK_FALSE(budget.try_spend_retry(start));
    }
    SECTION("the slack is allowed once per window")
    {
        sliding_retry_budget budget({0.2, 2, seconds(10)});
        CHECK(budget.try_spend_retry(start));
        CHECK(budget.try_spend_retry(start + seconds(1)));
        CHECK_FALSE(budget.try_spend_retry(start + seconds(9)));
        CHECK(budget.try_spend_retry(start + seconds(11)));
    }
    rc::prop("a count of each window's attempts stays within the limit",
             []
             {
                 sliding_retry_budget budget({0.2, 1, seconds(10)});
                 std::deque<std::pair<time_point, bool>> log; // true: a retry
                 time_point now{seconds(1000)};
                 for (int n = 0; n < 400; ++n)
                 {
                     now += milliseconds(*rc::gen::inRange(0, 200));
                     const bool is_retry = *rc::gen::inRange(0, 2) == 0;
                     if (!is_retry)
                     {
                         budget.record_first_attempt(now);
                     }
                     if (!is_retry || budget.try_spend_retry(now))
                     {
                         log.emplace_back(now, is_retry);
                     }
                 }
                 for (const auto& [end, any] : log)
                 {
                     double first_attempts = 0;
                     double retries = 0;
                     for (const auto& [at, is_retry] : log)
                     {
                         const bool is_inside = at <= end && end - at < seconds(10);
                         first_attempts += is_inside && !is_retry ? 1 : 0;
                         retries += is_inside && is_retry ? 1 : 0;
                     }
                     // A window may begin within a slice of half a second, so the first
                     // attempts of that slice may count: 20 more allow for them.
                     RC_ASSERT(retries <= 0.2 * (first_attempts + 20) + 1);
                 }
             });
}
