#include "core/gateway/assignment_delta.hpp"
#include "testing/test_headers.hpp"

#include <random>

using namespace camphorrock;

namespace
{

const service_name diary("diary");
const service_name valves("valves");

key_share share(unsigned first, unsigned last, const char* owner, std::uint64_t epoch_at)
{
    key_share made;
    made.keys = {first, last};
    made.owner = server_id(owner);
    made.at = epoch{epoch_at};
    return made;
}

key_assignment assignment(std::uint64_t change, std::vector<service_shares> services)
{
    return {{1, change}, instance_id("g1"), epoch{1000}, std::move(services)};
}

// Random shares, with gaps, some of them those of every draw.
service_shares draw_shares(const service_name& service, std::minstd_rand& random)
{
    service_shares made{service, {}};
    for (unsigned first = 0; first < 64; first += 8)
    {
        switch (random() % 4)
        {
        case 0:
            break;
        case 1:
            made.shares.push_back(share(first, first + 7, "same", 1));
            break;
        case 2:
            made.shares.push_back(share(first, first + 3, "left", random() % 3));
            made.shares.push_back(share(first + 4, first + 7, "right", 2));
            break;
        default:
            made.shares.push_back(share(first, first + 7, "other", random() % 3));
        }
    }
    return made;
}

} // namespace

TEST_CASE("a change of a few shares is told as these shares")
{
    const key_assignment old = assignment(
        1,
        {{diary, {share(0, 9, "a", 1), share(10, 19, "b", 2), share(20, 29, "c", 3)}}});

    SECTION("a share with a new owner is all that the message holds")
    {
        const key_assignment next = assignment(
            2,
            {{diary,
              {share(0, 9, "a", 1), share(10, 19, "c", 4), share(20, 29, "c", 3)}}});
        const assignment_delta delta = difference(old, next);
        REQUIRE(delta.services.size() == 1);
        CHECK(delta.services[0].changed == std::vector{share(10, 19, "c", 4)});
        CHECK(delta.services[0].gone.empty());
        CHECK(apply(old, delta) == next);

        SECTION("it says nothing to who has another assignment")
        {
            key_assignment other = old;
            other.version.change = 7;
            CHECK(apply(other, delta) == std::nullopt);
        }
    }
    SECTION("a share that ends without a successor is named")
    {
        const key_assignment next =
            assignment(2, {{diary, {share(0, 9, "a", 1), share(20, 29, "c", 3)}}});
        const assignment_delta delta = difference(old, next);
        CHECK(delta.services[0].gone == std::vector{10U});
        CHECK(apply(old, delta) == next);
    }
    SECTION("a share that is cut gives way to its parts")
    {
        const key_assignment next = assignment(2,
                                               {{diary,
                                                 {share(0, 4, "a", 5),
                                                  share(5, 9, "b", 6),
                                                  share(10, 19, "b", 2),
                                                  share(20, 29, "c", 3)}}});
        CHECK(apply(old, difference(old, next)) == next);
    }
    SECTION("services come and go")
    {
        const key_assignment next = assignment(2, {{valves, {share(0, 9, "v", 1)}}});
        CHECK(apply(old, difference(old, next)) == next);
    }
}

TEST_CASE("whatever changes, the steps lead to the same assignment")
{
    std::minstd_rand random(20261204);
    assignment_history history(4);
    std::vector<key_assignment> made;
    for (std::uint64_t n = 1; n <= 200; ++n)
    {
        made.push_back(
            assignment(n, {draw_shares(diary, random), draw_shares(valves, random)}));
        history.note(made.back());
        for (std::size_t back = 1; back <= 4 && back < made.size(); ++back)
        {
            key_assignment it = made[made.size() - 1 - back];
            const auto steps = history.since(it.version);
            REQUIRE(steps);
            REQUIRE(steps->size() == back);
            for (const assignment_delta& step : *steps)
            {
                it = apply(it, step).value();
            }
            REQUIRE(it == made.back());
        }
    }

    SECTION("steps that are no longer kept are not told")
    {
        CHECK_FALSE(history.since(made[made.size() - 6].version));
    }
    SECTION("another writer's assignments have other steps")
    {
        key_assignment next = made.back();
        next.version = {2, 1};
        history.note(next);
        CHECK_FALSE(history.since(made.back().version));
    }
}
