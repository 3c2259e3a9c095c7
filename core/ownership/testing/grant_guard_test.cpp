#include "core/ownership/grant_guard.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

time_point at_ms(int n)
{
    return time_point(milliseconds(n));
}

grant_message grant_of(hash_range range, std::uint64_t since, int as_of_ms)
{
    return {{milliseconds(as_of_ms)}, milliseconds(800), {{range, {since}}}};
}

} // namespace

TEST_CASE("a server runs only requests of partitions that it owns", "[ownership]")
{
    ownership_options options;
    options.max_partitions = 8;
    grant_guard guard(options, at_ms(1000));
    hash_range low{{0}, {99}};
    hash_range high{{100}, {199}};
    key_hash key{50};

    GIVEN("a grant of epoch 5 with the clock reading of 1000 ms")
    {
        REQUIRE(guard.grant(grant_of(low, 5, 1000), at_ms(1500)).accepted.size() == 1);

        THEN("it lapses 800 ms after the reading, not after its arrival")
        {
            CHECK(guard.check(key, {5}, at_ms(1799)) == guard_verdict::accepted);
            CHECK(guard.check(key, {5}, at_ms(1800)) == guard_verdict::lapsed);
        }

        THEN("only requests of its epoch are accepted")
        {
            CHECK(guard.check(key, {4}, at_ms(1500)) == guard_verdict::stale_epoch);
            CHECK(guard.check(key, {6}, at_ms(1500)) == guard_verdict::no_grant);
            CHECK(guard.check({100}, {5}, at_ms(1500)) == guard_verdict::no_grant);
        }

        WHEN("a part of it is revoked")
        {
            guard.revoke({{{{{50}, {99}}, {5}}}}, at_ms(1510));

            THEN("a delayed renewal of the whole partition restores nothing")
            {
                CHECK(guard.grant(grant_of(low, 5, 1400), at_ms(1520)).accepted.empty());
                CHECK(guard.check(key, {5}, at_ms(1520)) == guard_verdict::revoked);
                CHECK(guard.check({49}, {5}, at_ms(1520)) == guard_verdict::accepted);
            }
        }

        WHEN("a higher epoch was granted")
        {
            guard.grant(grant_of(low, 6, 1500), at_ms(1510));

            THEN("grants and revocations of the lower one have no effect")
            {
                CHECK(guard.grant(grant_of(low, 5, 1505), at_ms(1520)).accepted.empty());
                guard.revoke({{{low, {5}}}}, at_ms(1530));
                CHECK(guard.check(key, {6}, at_ms(1530)) == guard_verdict::accepted);
            }
        }
    }

    GIVEN("clock readings from before the start of the process or from the future")
    {
        THEN("a grant with such a reading is refused")
        {
            CHECK(guard.grant(grant_of(low, 5, 999), at_ms(1500)).accepted.empty());
            CHECK(guard.grant(grant_of(low, 5, 1501), at_ms(1500)).accepted.empty());
        }
    }

    GIVEN("max_partitions partitions with valid grants")
    {
        for (std::uint64_t n = 0; n < 8; ++n)
        {
            guard.grant(grant_of({{n}, {n}}, 5, 1500), at_ms(1500));
        }

        THEN("further grants are refused until the old ones can be forgotten")
        {
            CHECK(guard.grant(grant_of(high, 6, 1500), at_ms(1500)).accepted.empty());
            CHECK(guard.grant(grant_of(high, 6, 4000), at_ms(4000)).accepted.size() == 1);
        }
    }
}
