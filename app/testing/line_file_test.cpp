#include "app/line_file.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("a file of lines says when it lost one")
{
    line_file dropped = line_file::open("").value();
    dropped.append("nothing is kept");
    CHECK_FALSE(dropped.has_failed());

    // A device that is always full.
    line_file full = line_file::open("/dev/full").value();
    full.append("lost");
    CHECK(full.has_failed());
    CHECK_FALSE(line_file::open("/nowhere/at/all"));
}
