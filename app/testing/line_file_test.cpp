#include "app/line_file.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("a line file reports that a write failed")
{
    line_file discarding = line_file::open("").value();
    discarding.append("discarded");
    CHECK_FALSE(discarding.has_failed());

    // Each write to this device fails with ENOSPC.
    line_file full = line_file::open("/dev/full").value();
    full.append("lost");
    CHECK(full.has_failed());
    CHECK_FALSE(line_file::open("/nowhere/at/all"));
}
