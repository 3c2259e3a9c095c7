#include "core/base/backoff.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("the backoff doubles with each failure, up to its maximum and 8 doublings")
{
    CHECK(exponential_backoff(milliseconds(100), 0, seconds(1)) == milliseconds(100));
    CHECK(exponential_backoff(milliseconds(100), 2, seconds(1)) == milliseconds(400));
    CHECK(exponential_backoff(milliseconds(100), 4, seconds(1)) == seconds(1));
    CHECK(exponential_backoff(milliseconds(100), 4000000000U, seconds(60)) ==
          milliseconds(25600));
}
