#include "core/routing/refusal.hpp"
#include "core/routing/request_target.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("a caller's target names a service and a key")
{
    SECTION("the rest is passed on as it was sent")
    {
        auto target = parse_request_target("/valves/quad-17/sheet?kind=bias%20a");
        REQUIRE(target);
        CHECK(target->service.str() == "valves");
        CHECK(target->key == "quad-17");
        CHECK(target->rest == "/sheet?kind=bias%20a");
    }
    SECTION("two spellings of one key have one hash")
    {
        auto plain = parse_request_target("/diary/DD1 4");
        auto escaped = parse_request_target("/diary/DD1%204?x");
        REQUIRE(plain);
        REQUIRE(escaped);
        CHECK(plain->hash == escaped->hash);
    }
    SECTION("what names no service or key is refused")
    {
        for (const char* text : {"",
                                 "/",
                                 "//",
                                 "/valves",
                                 "/valves/",
                                 "/valves//x",
                                 "valves/a",
                                 "/val ves/a",
                                 "/valves/%",
                                 "/valves/%4",
                                 "/valves/%zz",
                                 "/valves/%00",
                                 "/valves/?q"})
        {
            CAPTURE(text);
            CHECK_FALSE(parse_request_target(text));
        }
        CHECK_FALSE(
            parse_request_target("/valves/" + std::string(max_key_size + 1, 'k')));
        CHECK_FALSE(parse_request_target(
            "/" + std::string(max_service_name_size + 1, 's') + "/k"));
    }
    rc::prop("no bytes make it fail otherwise than by refusing",
             [](const std::string& text)
             {
                 auto target = parse_request_target("/s/" + text);
                 if (target)
                 {
                     RC_ASSERT(!target->key.empty());
                     RC_ASSERT(target->hash == hash_key(target->key));
                 }
             });
}

TEST_CASE("each refusal has terms of its own")
{
    for (int n = 0; n <= static_cast<int>(refusal::internal); ++n)
    {
        const refusal_terms& terms = terms_of(static_cast<refusal>(n));
        CAPTURE(n, terms.type);
        CHECK(static_cast<int>(terms.why) == n);
        bool needs_time = terms.status == 429 || terms.status == 503;
        CHECK((!needs_time || terms.retry_after > duration::zero()));
    }
}
