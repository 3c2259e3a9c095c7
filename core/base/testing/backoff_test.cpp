#include "core/base/backoff.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("a pause doubles with each further failure, up to its bound")
{
    CHECK(doubled_pause(milliseconds(100), 0, seconds(1)) == milliseconds(100));
    CHECK(doubled_pause(milliseconds(100), 2, seconds(1)) == milliseconds(400));
    CHECK(doubled_pause(milliseconds(100), 4, seconds(1)) == seconds(1));
    CHECK(doubled_pause(milliseconds(100), 4000000000U, seconds(60)) ==
          milliseconds(25600));
}
