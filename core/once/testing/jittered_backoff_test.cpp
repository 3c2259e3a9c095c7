#include "core/once/jittered_backoff.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("the backoff doubles with each failure and differs between seeds")
{
    rc::prop("for any seed",
             [](std::uint64_t seed)
             {
                 const time_point now{};
                 jittered_backoff retries(milliseconds(500), seconds(8), seed);
                 duration interval = milliseconds(500);
                 for (int i = 0; i < 10; ++i)
                 {
                     retries.on_failure(now);
                     const duration delay = *retries.retry_at() - now;
                     RC_ASSERT(delay >= interval / 2 && delay <= interval);
                     interval = std::min<duration>(interval * 2, seconds(8));
                 }
                 retries.on_success();
                 RC_ASSERT(retries.is_due(now));
                 retries.on_failure(now);
                 RC_ASSERT(*retries.retry_at() - now <= milliseconds(500));
             });

    jittered_backoff one(seconds(1), seconds(1), 2);
    jittered_backoff other(seconds(1), seconds(1), 4);
    one.on_failure({});
    other.on_failure({});
    CHECK(one.retry_at() != other.retry_at());
}
