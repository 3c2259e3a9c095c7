#include "codec/link_codec.hpp"
#include "testing/test_headers.hpp"

#include <rapidcheck.h>

using namespace camphorrock;

TEST_CASE("a notice of lost links is read as it was written")
{
    const links_notice notice{endpoint("10.0.0.1:7"), GENERATE(true, false)};
    const std::string bytes = encode_links_notice(notice);
    CHECK(decode_links_notice(bytes) == notice);

    SECTION("bytes that are cut short or followed by others are no notice")
    {
        for (std::size_t n = 0; n < bytes.size(); ++n)
        {
            CHECK_FALSE(decode_links_notice(bytes.substr(0, n)));
        }
        CHECK_FALSE(decode_links_notice(bytes + '\x01'));
    }
    SECTION("nor are other bytes")
    {
        CHECK_FALSE(decode_links_notice("\x93\xa5links\x01\xc3"));
        CHECK_FALSE(decode_links_notice("\x92\xa5links\xc3"));
        CHECK_FALSE(decode_links_notice("\x93\xa5"
                                        "limit\xa1x\xc3"));
        CHECK_FALSE(decode_links_notice(std::string(60'000, '\x91')));
        CHECK(rc::check(
            [](const std::string& text)
            {
                const auto got = decode_links_notice(text);
                const bool is_same = !got || encode_links_notice(*got) == text;
                RC_ASSERT(is_same);
            }));
    }
}
