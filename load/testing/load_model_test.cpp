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

TEST_CASE("availability computes the longest outage of each key from probes")
{
    GIVEN("a key that is served")
    {
        availability probes;
        probes.add_probe("k", {at_ms(0), at_ms(5), true});

        THEN("its longest outage is 0")
        {
            CHECK(probes.longest_outages(at_ms(1000)) ==
                  std::vector<duration>{duration(0)});
        }

        WHEN("probes sent at 20 and 40 ms fail and one sent at 60 ms succeeds")
        {
            probes.add_probe("k", {at_ms(60), at_ms(65), true});
            probes.add_probe("k", {at_ms(20), at_ms(520), false});
            probes.add_probe("k", {at_ms(40), at_ms(41), false});

            THEN("the outage lasts until the successful probe ends, whenever the failed "
                 "ones end")
            {
                CHECK(probes.longest_outages(at_ms(1000)).back() == milliseconds(45));
            }

            THEN("an outage that has not ended counts up to the given time")
            {
                probes.add_probe("k", {at_ms(100), at_ms(600), false});
                CHECK(probes.longest_outages(at_ms(1000)).back() == milliseconds(900));
            }
        }
    }
}

TEST_CASE("arrivals and keys follow the configured distributions")
{
    std::mt19937_64 random(20261204);

    GIVEN("a rate that changes from 100 to 1000 to 0 per second")
    {
        arrival_process arrivals(
            {{duration(0), 100}, {seconds(10), 1000}, {seconds(20), 0}});

        THEN("the arrivals in each step match its rate within five standard deviations")
        {
            int low = 0;
            int high = 0;
            while (std::optional<duration> next_arrival = arrivals.next_arrival(random))
            {
                (*next_arrival < seconds(10) ? low : high) += 1;
                CHECK(*next_arrival < seconds(20));
            }
            CHECK(std::abs(low - 1000) < 160);
            CHECK(std::abs(high - 10000) < 500);
        }
    }

    GIVEN("ten keys with a Zipf distribution whose most popular key changes each second")
    {
        key_popularity keys({10, 1, seconds(1)});

        THEN("the most popular key has its expected count, and is another key a second "
             "later")
        {
            std::map<std::string, int> first;
            std::map<std::string, int> later;
            for (int n = 0; n < 10000; ++n)
            {
                ++first[keys.draw_key(random, duration(0))];
                ++later[keys.draw_key(random, seconds(1))];
            }
            CHECK(std::abs(first["key-0"] - 3414) < 250);
            CHECK(std::abs(later["key-9"] - 3414) < 250);
            CHECK(first.size() == 10);
        }
    }
}

TEST_CASE("router_choice avoids routers that failed")
{
    GIVEN("two routers, one of which has failed")
    {
        std::mt19937_64 random(20261204);
        endpoint one("127.0.0.1:1");
        endpoint other("127.0.0.1:2");
        router_choice routers({one, other}, milliseconds(100));
        routers.eject(one, at_ms(1000));

        auto picks = [&](time_point now)
        {
            std::map<endpoint, int> counts;
            for (int n = 0; n < 100; ++n)
            {
                ++counts[routers.pick(random, now)];
            }
            return counts;
        };

        THEN("the failed router is not picked until its eject time is over")
        {
            CHECK(picks(at_ms(1099))[one] == 0);
            CHECK(picks(at_ms(1100)).size() == 2);
        }

        THEN("if both have failed, both are picked")
        {
            routers.eject(other, at_ms(1050));
            CHECK(picks(at_ms(1060)).size() == 2);
        }
    }
}

TEST_CASE("read_load_settings reports invalid settings")
{
    GIVEN("rate steps out of order and no router")
    {
        settings_reader reader = settings_reader::from_text(
                                     "l.yaml",
                                     "callers:\n"
                                     "  - {name: a, service: s, swings: [{at_ms: 0}]}\n")
                                     .value();
        read_load_settings(reader.root());

        THEN("both faults are reported")
        {
            CHECK(to_string(reader.faults()) ==
                  "l.yaml:1: routers: must name at least one router\n"
                  "l.yaml:2: callers[0].swings[0].at_ms: must be later than the "
                  "previous step");
        }
    }
}
