#include "core/base/key_hash.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("a hash range is written as text and parsed back")
{
    GIVEN("the default range")
    {
        hash_range whole;

        THEN("its text has both ends of the key space")
        {
            CHECK(to_string(whole) == "0000000000000000-ffffffffffffffff");
        }
    }

    GIVEN("malformed texts")
    {
        THEN("parsing returns nullopt")
        {
            CHECK_FALSE(parse_hash_range(""));
            CHECK_FALSE(parse_hash_range("0-f"));
            CHECK_FALSE(parse_hash_range("000000000000000g-ffffffffffffffff"));
            CHECK_FALSE(parse_hash_range("ffffffffffffffff-0000000000000000"));
            CHECK_FALSE(parse_hash_range("0000000000000000_ffffffffffffffff"));
        }
    }

    rc::prop("every range is parsed back from its text",
             [](std::uint64_t one, std::uint64_t other)
             {
                 hash_range range{{std::min(one, other)}, {std::max(one, other)}};
                 RC_ASSERT(parse_hash_range(to_string(range)) == range);
             });
}
