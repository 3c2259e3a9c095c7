#include "core/config/recent_maximum.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>
#include <optional>
#include <vector>

using namespace camphorrock;

TEST_CASE("a lower limit takes effect after operations under a higher one have ended")
{
    recent_maximum_options options;
    recent_maximum longest(options);
    time_point now(seconds(100));
    longest.set(seconds(60), now);

    WHEN("the limit is lowered")
    {
        longest.set(seconds(10), now);

        THEN("the higher one counts until the last request under it has ended")
        {
            CHECK(longest.at(now + options.propagation_time + seconds(60)) ==
                  seconds(60));
            CHECK(longest.at(now + options.propagation_time + seconds(61)) ==
                  seconds(10));
        }
    }
    WHEN("the limit is raised")
    {
        longest.set(seconds(90), now);

        THEN("the higher one counts at once")
        {
            CHECK(longest.at(now) == seconds(90));
        }
    }
}

// The oracle: instances learn of each value at any time within propagation_time and start
// operations at any time under the value that they know.
TEST_CASE("no operation lasts longer than the recent maximum, however the limit changes")
{
    rc::prop(
        "at() is never below the limit of an operation that may be in progress",
        [](const std::vector<unsigned>& steps)
        {
            recent_maximum_options options;
            options.max_replaced = 2;
            recent_maximum longest(options);
            time_point now(seconds(100));
            struct operation
            {
                duration length;
                time_point last_start;
            };
            std::vector<operation> operations;
            std::optional<duration> previous;
            for (unsigned step : steps)
            {
                duration value = seconds(1 + step % 50);
                if (previous)
                {
                    operations.push_back({*previous, now + options.propagation_time});
                }
                longest.set(value, now);
                previous = value;
                now += milliseconds(step / 50 % 40000);
                for (const operation& it : operations)
                {
                    bool may_last = now < it.last_start + it.length;
                    RC_ASSERT(!may_last || longest.at(now) >= it.length);
                }
                RC_ASSERT(longest.at(now) >= value);
            }
        });
}
