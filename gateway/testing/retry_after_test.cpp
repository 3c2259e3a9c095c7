#include "gateway/retry_after.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("a server's Retry-After is read as seconds, within bounds")
{
    CHECK(parse_retry_after("2") == seconds(2));
    CHECK(parse_retry_after("0.25") == milliseconds(250));
    CHECK(parse_retry_after("0") == duration::zero());

    SECTION("a longer time than the longest pause is shortened to it")
    {
        CHECK(parse_retry_after("86400") == max_server_pause);
        CHECK(parse_retry_after(std::string(400, '9')) == max_server_pause);
    }
    SECTION("other texts ask for no pause")
    {
        const char* text = GENERATE(
            "", "-1", "+2", "nan", "inf", "1e9", "1.2.3", ".", " 1", "Fri, 04 Dec 2026");
        CAPTURE(text);
        CHECK(parse_retry_after(text) == duration::zero());
    }
}
