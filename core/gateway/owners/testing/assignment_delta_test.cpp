#include "core/gateway/owners/assignment_delta.hpp"
#include "testing/test_headers.hpp"

#include <random>

using namespace camphorrock;

namespace
{

const service_name diary("diary");
const service_name valves("valves");

assigned_key_range
make_range(unsigned first, unsigned last, const char* owner, std::uint64_t grant_epoch)
{
    assigned_key_range made;
    made.keys = {first, last};
    made.owner = server_id(owner);
    made.grant_epoch = epoch{grant_epoch};
    return made;
}

key_assignment assignment(std::uint64_t change, std::vector<service_key_ranges> services)
{
    return {{1, change}, instance_id("g1"), epoch{1000}, std::move(services)};
}

// Random key ranges, with gaps. Some of them are the same in each draw.
service_key_ranges draw_key_ranges(const service_name& service, std::minstd_rand& random)
{
    service_key_ranges made{service, {}};
    for (unsigned first = 0; first < 64; first += 8)
    {
        switch (random() % 4)
        {
        case 0:
            break;
        case 1:
            made.key_ranges.push_back(make_range(first, first + 7, "same", 1));
            break;
        case 2:
            made.key_ranges.push_back(make_range(first, first + 3, "left", random() % 3));
            made.key_ranges.push_back(make_range(first + 4, first + 7, "right", 2));
            break;
        default:
            made.key_ranges.push_back(
                make_range(first, first + 7, "other", random() % 3));
        }
    }
    return made;
}

} // namespace

TEST_CASE("a delta contains only the key ranges that change")
{
    const key_assignment old = assignment(1,
                                          {{diary,
                                            {make_range(0, 9, "a", 1),
                                             make_range(10, 19, "b", 2),
                                             make_range(20, 29, "c", 3)}}});

    SECTION("a range with a new owner is the only one in the delta")
    {
        const key_assignment next = assignment(2,
                                               {{diary,
                                                 {make_range(0, 9, "a", 1),
                                                  make_range(10, 19, "c", 4),
                                                  make_range(20, 29, "c", 3)}}});
        const assignment_delta delta = difference(old, next);
        REQUIRE(delta.services.size() == 1);
        CHECK(delta.services[0].changed == std::vector{make_range(10, 19, "c", 4)});
        CHECK(delta.services[0].removed_first_keys.empty());
        CHECK(apply(old, delta) == next);

        SECTION("it does not apply to another assignment")
        {
            key_assignment other = old;
            other.version.change = 7;
            CHECK(apply(other, delta) == std::nullopt);
        }
    }
    SECTION("a removed range is named by its first key")
    {
        const key_assignment next = assignment(
            2, {{diary, {make_range(0, 9, "a", 1), make_range(20, 29, "c", 3)}}});
        const assignment_delta delta = difference(old, next);
        CHECK(delta.services[0].removed_first_keys == std::vector{10U});
        CHECK(apply(old, delta) == next);
    }
    SECTION("a range that is split is replaced by its parts")
    {
        const key_assignment next = assignment(2,
                                               {{diary,
                                                 {make_range(0, 4, "a", 5),
                                                  make_range(5, 9, "b", 6),
                                                  make_range(10, 19, "b", 2),
                                                  make_range(20, 29, "c", 3)}}});
        CHECK(apply(old, difference(old, next)) == next);
    }
    SECTION("services are added and removed")
    {
        const key_assignment next = assignment(2, {{valves, {make_range(0, 9, "v", 1)}}});
        CHECK(apply(old, difference(old, next)) == next);
    }
}

TEST_CASE("applying the steps to an earlier assignment yields the last one")
{
    std::minstd_rand random(20261204);
    assignment_history history(4);
    std::vector<key_assignment> made;
    for (std::uint64_t n = 1; n <= 200; ++n)
    {
        made.push_back(assignment(
            n, {draw_key_ranges(diary, random), draw_key_ranges(valves, random)}));
        history.add_assignment(made.back());
        for (std::size_t back = 1; back <= 4 && back < made.size(); ++back)
        {
            key_assignment it = made[made.size() - 1 - back];
            const auto steps = history.steps_since(it.version);
            REQUIRE(steps);
            REQUIRE(steps->size() == back);
            for (const assignment_delta& step : *steps)
            {
                it = apply(it, step).value();
            }
            REQUIRE(it == made.back());
        }
    }

    SECTION("there are no steps from an assignment older than the history")
    {
        CHECK_FALSE(history.steps_since(made[made.size() - 6].version));
    }
    SECTION("an assignment of a new term drops the earlier steps")
    {
        key_assignment next = made.back();
        next.version = {2, 1};
        history.add_assignment(next);
        CHECK_FALSE(history.steps_since(made.back().version));
    }
}
