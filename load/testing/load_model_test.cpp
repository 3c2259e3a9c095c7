#include "load/arrival_process.hpp"
#include "load/availability.hpp"
#include "load/key_popularity.hpp"
#include "load/load_settings.hpp"
#include "load/router_choice.hpp"
#include "testing/test_headers.hpp"

#include <map>

using namespace camphorrock;

namespace
{

time_point at_ms(int value)
{
    return time_point(milliseconds(value));
}

} // namespace

TEST_CASE("unavailable time is measured from probes")
{
    GIVEN("a key that is served")
    {
        availability probes;
        probes.add("k", {at_ms(0), at_ms(5), true});

        THEN("it was never unavailable")
        {
            CHECK(probes.longest(at_ms(1000)) == std::vector<duration>{duration(0)});
        }

        WHEN("probes fail from 20 on and one sent at 60 succeeds")
        {
            probes.add("k", {at_ms(60), at_ms(65), true});
            probes.add("k", {at_ms(20), at_ms(520), false});
            probes.add("k", {at_ms(40), at_ms(41), false});

            THEN("the key was unavailable until that one ended, whenever the others did")
            {
                CHECK(probes.longest(at_ms(1000)).back() == milliseconds(45));
            }

            THEN("a key that is still unavailable at the end counts up to it")
            {
                probes.add("k", {at_ms(100), at_ms(600), false});
                CHECK(probes.longest(at_ms(1000)).back() == milliseconds(900));
            }
        }
    }
}

TEST_CASE("arrivals and keys follow the settings")
{
    std::mt19937_64 random(20261204);

    GIVEN("a rate that swings from 100 to 1000 and to nothing")
    {
        arrival_process arrivals(
            {{duration(0), 100}, {seconds(10), 1000}, {seconds(20), 0}});

        THEN("the counts are those of the steps, within five standard deviations")
        {
            int low = 0;
            int high = 0;
            while (std::optional<duration> next = arrivals.next(random))
            {
                (*next < seconds(10) ? low : high) += 1;
                CHECK(*next < seconds(20));
            }
            CHECK(std::abs(low - 1000) < 160);
            CHECK(std::abs(high - 10000) < 500);
        }
    }

    GIVEN("ten keys by Zipf's law, with a hot key that moves each second")
    {
        key_popularity keys({10, 1, seconds(1)});

        THEN("the most asked key has its share, and is another one later")
        {
            std::map<std::string, int> first;
            std::map<std::string, int> later;
            for (int n = 0; n < 10000; ++n)
            {
                ++first[keys.draw(random, duration(0))];
                ++later[keys.draw(random, seconds(1))];
            }
            CHECK(std::abs(first["key-0"] - 3414) < 250);
            CHECK(std::abs(later["key-9"] - 3414) < 250);
            CHECK(first.size() == 10);
        }
    }
}

TEST_CASE("routers are chosen as a balancer would")
{
    GIVEN("two routers of which one has failed")
    {
        std::mt19937_64 random(20261204);
        endpoint one("127.0.0.1:1");
        endpoint other("127.0.0.1:2");
        router_choice routers({one, other}, milliseconds(100));
        routers.failed(one, at_ms(1000));

        auto picks = [&](time_point now)
        {
            std::map<endpoint, int> counts;
            for (int n = 0; n < 100; ++n)
            {
                ++counts[routers.pick(random, now)];
            }
            return counts;
        };

        THEN("it is passed over until its time is out")
        {
            CHECK(picks(at_ms(1099))[one] == 0);
            CHECK(picks(at_ms(1100)).size() == 2);
        }

        THEN("where both have failed, either is tried")
        {
            routers.failed(other, at_ms(1050));
            CHECK(picks(at_ms(1060)).size() == 2);
        }
    }
}

TEST_CASE("the load's settings are checked")
{
    GIVEN("swings out of order and no router")
    {
        settings_reader reader = settings_reader::from_text(
                                     "l.yaml",
                                     "callers:\n"
                                     "  - {name: a, service: s, swings: [{at_ms: 0}]}\n")
                                     .value();
        read_load_settings(reader.root());

        THEN("both are named")
        {
            CHECK(to_string(reader.faults()) ==
                  "l.yaml:1: routers: must name at least one router\n"
                  "l.yaml:2: callers[0].swings[0].at_ms: must be later than the step "
                  "before");
        }
    }
}
