#include "gateway/rate_limit_header.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

limit_statement read(const std::vector<std::string>& values)
{
    http_headers headers;
    for (const std::string& it : values)
    {
        headers.add("Server-Limit", it);
    }
    return read_rate_limit(headers, "server-limit");
}

} // namespace

TEST_CASE("a limit is a decimal number of requests a second")
{
    CHECK_FALSE(read({}).is_present);
    CHECK(read({"3.1"}).rate == 3.1);
    CHECK(read({"0"}).rate == 0.0);
    CHECK(read({"2", "2.0"}).rate.has_value() == false);
    CHECK(read({"2", "2"}).rate == 2.0);

    SECTION("a number beyond what a server could do is cut")
    {
        CHECK(read({"98765432109876"}).rate == max_rate_limit);
        CHECK(read({std::string(400, '9')}).rate == max_rate_limit);
    }
    SECTION("other texts are present, but say nothing")
    {
        for (const char* text : {"", "-1", "nan", "inf", "1e3", "3,1", "3 ", "1.2.3"})
        {
            INFO(text);
            CHECK(read({text}).is_present);
            CHECK_FALSE(read({text}).rate);
        }
    }
}
