#include "core/routing/refusal.hpp"
#include "core/routing/request_target.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("a request target is parsed into service, key and rest")
{
    SECTION("the rest is not decoded")
    {
        auto target = parse_request_target("/valves/quad-17/sheet?kind=bias%20a");
        REQUIRE(target);
        CHECK(target->service.str() == "valves");
        CHECK(target->key == "quad-17");
        CHECK(target->rest == "/sheet?kind=bias%20a");
    }
    SECTION("two encodings of one key have the same hash")
    {
        auto plain = parse_request_target("/diary/DD1 4");
        auto escaped = parse_request_target("/diary/DD1%204?x");
        REQUIRE(plain);
        REQUIRE(escaped);
        CHECK(plain->hash == escaped->hash);
    }
    SECTION("a target without a valid service and key is rejected")
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
    rc::prop("any bytes are either rejected or give a key and its hash",
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

TEST_CASE("each refusal has its own details, and a 429 or 503 has a retry time")
{
    for (int n = 0; n <= static_cast<int>(refusal::internal); ++n)
    {
        const refusal_details& details = details_of(static_cast<refusal>(n));
        CAPTURE(n, details.type);
        CHECK(static_cast<int>(details.why) == n);
        bool needs_time = details.status == 429 || details.status == 503;
        CHECK((!needs_time || details.retry_after > duration::zero()));
    }
}
