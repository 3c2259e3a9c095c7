#include "core/base/result.hpp"
#include "testing/test_headers.hpp"

#include <stdexcept>

using namespace camphorrock;

namespace
{

// The value of the result, or the code and text of its error.
std::string value_or_error_text(const std::function<result<std::string>()>& body)
{
    return value_or_handle(body,
                           [](const error& ec)
                           { return std::string(name_of(ec.code)) + ": " + ec.text; });
}

} // namespace

TEST_CASE("value_or_handle returns the value, or passes the error to the handler")
{
    CHECK(value_or_error_text([]() -> result<std::string>
                              { return std::string("value"); }) == "value");
    CHECK(value_or_error_text([]() -> result<std::string>
                              { return fail(error_code::refused, "no"); }) ==
          "refused: no");

    SECTION("a std::exception becomes an io error with its text")
    {
        CHECK(value_or_error_text([]() -> result<std::string>
                                  { throw std::out_of_range("map::at"); }) ==
              "io: map::at");
    }
    SECTION("any other exception becomes an io error without its text")
    {
        CHECK(value_or_error_text([]() -> result<std::string> { throw 1; }) ==
              "io: unknown error");
    }
}
