#include "core/config/recent_maximum.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>
#include <optional>
#include <vector>

using namespace camphorrock;

TEST_CASE("a lower limit waits for what was begun under a higher one")
{
    recent_maximum_options options;
    recent_maximum longest(options);
    time_point now(seconds(100));
    longest.set(seconds(60), now);

    WHEN("the limit is lowered")
    {
        longest.set(seconds(10), now);

        THEN("the higher one counts until the last such request has ended")
        {
            CHECK(longest.at(now + options.spread + seconds(60)) == seconds(60));
            CHECK(longest.at(now + options.spread + seconds(61)) == seconds(10));
        }
    }
    WHEN("the limit is raised")
    {
        longest.set(seconds(90), now);

        THEN("it counts at once")
        {
            CHECK(longest.at(now) == seconds(90));
        }
    }
}

// The oracle: instances that learn of each value at any time within the spread, and begin
// something at every moment under the value that they know.
TEST_CASE("nothing outlives the recent maximum, however the limit changes")
{
    rc::prop("at() is never below what may last",
             [](const std::vector<unsigned>& steps)
             {
                 recent_maximum_options options;
                 options.max_replaced = 2;
                 recent_maximum longest(options);
                 time_point now(seconds(100));
                 struct begun
                 {
                     duration length;
                     time_point last_start;
                 };
                 std::vector<begun> all;
                 std::optional<duration> known;
                 for (unsigned step : steps)
                 {
                     duration value = seconds(1 + step % 50);
                     if (known)
                     {
                         all.push_back({*known, now + options.spread});
                     }
                     longest.set(value, now);
                     known = value;
                     now += milliseconds(step / 50 % 40000);
                     for (const begun& it : all)
                     {
                         bool may_last = now < it.last_start + it.length;
                         RC_ASSERT(!may_last || longest.at(now) >= it.length);
                     }
                     RC_ASSERT(longest.at(now) >= value);
                 }
             });
}
