#include "gateway/forward_protocol.hpp"
#include "testing/test_headers.hpp"

#include <rapidcheck.h>

using namespace camphorrock;

TEST_CASE("a forwarded request's target keeps the request's own target")
{
    const forward_target it{{config_version{21}, 2}, "/a/b%20c?d=/e&f"};
    CHECK(format_forward_target(it) == "/forward/v1/21/2/a/b%20c?d=/e&f");
    const auto parsed = parse_forward_target(format_forward_target(it));
    REQUIRE(parsed);
    CHECK(parsed->terms == it.terms);
    CHECK(parsed->target == it.target);

    SECTION("any target that begins with a slash")
    {
        const bool is_kept = rc::check(
            [](const std::string& rest, std::uint64_t config, unsigned attempts)
            {
                const forward_target made{
                    {config_version{config}, std::max(attempts, 1U)}, "/" + rest};
                const auto got = parse_forward_target(format_forward_target(made));
                RC_ASSERT(got.has_value());
                RC_ASSERT(got->terms == made.terms);
                RC_ASSERT(got->target == made.target);
            });
        CHECK(is_kept);
    }
}

// Guards against a forwarded request that is sent to a server with another target.
TEST_CASE("a malformed target of a forwarded request is refused")
{
    for (const char* text : {"",
                             "/",
                             "/forward",
                             "/forward/",
                             "/forward/v1/",
                             "/forward/v1/21",
                             "/forward/v1/21/",
                             "/forward/v1/21/2",
                             "/forward/v1/21/0/a",
                             "/forward/v1/-1/2/a",
                             "/forward/v1/21/x/a",
                             "/forward/v1//2/a",
                             "/forward/v1/18446744073709551616/2/a",
                             "/forward/v1/21/4294967296/a",
                             "/forward/v2/21/2/a",
                             "/Forward/v1/21/2/a"})
    {
        INFO(text);
        CHECK_FALSE(parse_forward_target(text));
    }
    const bool is_safe = rc::check(
        [](const std::string& bytes)
        {
            if (const auto got = parse_forward_target("/forward/v1/" + bytes))
            {
                RC_ASSERT(is_forwardable(got->target));
                RC_ASSERT(bytes.ends_with(got->target));
            }
        });
    CHECK(is_safe);
}

// Guards against "not run" for a request that the other gateway may have sent (REFUSED).
TEST_CASE("an answer says what became of a forwarded request")
{
    http_response answer;

    SECTION("and is returned without saying so")
    {
        answer.headers.add("Camphorrock-Forward", "of a server");
        set_forward_end(answer, forward_end::answered);
        CHECK(take_forward_end(answer) == forward_end::answered);
        CHECK(answer.headers.all().empty());
    }
    SECTION("a value that is not known may mean anything")
    {
        answer.status = 503;
        answer.headers.add("Camphorrock-Forward", "of a later version");
        CHECK(take_forward_end(answer) == forward_end::unknown);
    }
    SECTION("a refusal that says nothing comes from a gateway that does not forward")
    {
        answer.status = 404;
        CHECK(take_forward_end(answer) == forward_end::unsupported);
    }
    SECTION("a success that says nothing is not trusted")
    {
        CHECK(take_forward_end(answer) == forward_end::unknown);
    }
}
