#include "core/once/backoff.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("pauses grow with each failure and differ between processes")
{
    rc::prop("any seed",
             [](std::uint64_t seed)
             {
                 const time_point now{};
                 backoff pauses(milliseconds(500), seconds(8), seed);
                 duration longest = milliseconds(500);
                 for (int i = 0; i < 10; ++i)
                 {
                     pauses.on_failure(now);
                     const duration pause = *pauses.next() - now;
                     RC_ASSERT(pause >= longest / 2 && pause <= longest);
                     longest = std::min<duration>(longest * 2, seconds(8));
                 }
                 pauses.on_success();
                 RC_ASSERT(pauses.is_due(now));
                 pauses.on_failure(now);
                 RC_ASSERT(*pauses.next() - now <= milliseconds(500));
             });

    backoff one(seconds(1), seconds(1), 2);
    backoff other(seconds(1), seconds(1), 4);
    one.on_failure({});
    other.on_failure({});
    CHECK(one.next() != other.next());
}
