#include "core/gateway/arrival_budget.hpp"
#include "testing/test_headers.hpp"

#include <deque>

using namespace camphorrock;

TEST_CASE("repeated sendings keep to a share of the requests in any window")
{
    const time_point start{seconds(1000)};

    SECTION("nothing is allowed without requests")
    {
        arrival_budget budget({0.2, 0, seconds(10)});
        CHECK_FALSE(budget.try_repeat(start));
    }
    SECTION("the extra is allowed beside, once a window")
    {
        arrival_budget budget({0.2, 2, seconds(10)});
        CHECK(budget.try_repeat(start));
        CHECK(budget.try_repeat(start + seconds(1)));
        CHECK_FALSE(budget.try_repeat(start + seconds(9)));
        CHECK(budget.try_repeat(start + seconds(11)));
    }
    rc::prop("a slow count of every window agrees",
             []
             {
                 arrival_budget budget({0.2, 1, seconds(10)});
                 std::deque<std::pair<time_point, bool>> log; // true: a repeat
                 time_point now{seconds(1000)};
                 for (int n = 0; n < 400; ++n)
                 {
                     now += milliseconds(*rc::gen::inRange(0, 200));
                     const bool is_repeat = *rc::gen::inRange(0, 2) == 0;
                     if (!is_repeat)
                     {
                         budget.first_sent(now);
                     }
                     if (!is_repeat || budget.try_repeat(now))
                     {
                         log.emplace_back(now, is_repeat);
                     }
                 }
                 for (const auto& [end, any] : log)
                 {
                     double first = 0;
                     double repeats = 0;
                     for (const auto& [at, is_repeat] : log)
                     {
                         const bool is_inside = at <= end && end - at < seconds(10);
                         first += is_inside && !is_repeat ? 1 : 0;
                         repeats += is_inside && is_repeat ? 1 : 0;
                     }
                     // Requests of the half second in which the window begins may count.
                     RC_ASSERT(repeats <= 0.2 * (first + 20) + 1);
                 }
             });
}
