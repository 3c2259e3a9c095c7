#include "core/base/result.hpp"
#include "testing/test_headers.hpp"

#include <stdexcept>

using namespace camphorrock;

namespace
{

// What a caller is told of the attempt.
std::string told(const std::function<result<std::string>()>& attempt)
{
    return value_or_handle(attempt,
                           [](const error& ec)
                           { return std::string(name_of(ec.code)) + ": " + ec.text; });
}

} // namespace

TEST_CASE("a caller gets the value, or the error with its text")
{
    CHECK(told([]() -> result<std::string> { return std::string("value"); }) == "value");
    CHECK(told([]() -> result<std::string> { return fail(error_code::refused, "no"); }) ==
          "refused: no");

    SECTION("an exception of a library keeps its text")
    {
        CHECK(told([]() -> result<std::string> { throw std::out_of_range("map::at"); }) ==
              "io: map::at");
    }
    SECTION("anything else that is thrown is an unknown error")
    {
        CHECK(told([]() -> result<std::string> { throw 1; }) == "io: unknown error");
    }
}
