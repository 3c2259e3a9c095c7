#include "core/gateway/limits/random_permits.hpp"
#include "core/gateway/limits/token_counter.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const server_id server("s0");
constexpr double rate = 4; // requests a second, so a token each 250 ms

struct counter_fixture
{
    // A counter that has settled, without saved tokens.
    counter_fixture()
    {
        take(duration::zero());
        now += seconds(1);
        while (take(duration::zero()).is_granted)
        {
        }
    }

    token_decision take(duration max_wait, bool is_preferred = true)
    {
        return counter.take(server, rate, max_wait, is_preferred, now);
    }

    token_counter counter{time_point{seconds(90)}};
    time_point now{seconds(100)};
};

} // namespace

TEST_CASE("tokens of a server are due one after the other")
{
    counter_fixture it;
    const token_decision first = it.take(seconds(1));
    const token_decision second = it.take(seconds(1));
    REQUIRE(first.is_granted);
    REQUIRE(second.is_granted);
    CHECK(second.wait - first.wait == milliseconds(250));

    SECTION("one that is due too late is refused, with a time to ask again")
    {
        const token_decision refused = it.take(milliseconds(100));
        CHECK_FALSE(refused.is_granted);
        CHECK(refused.wait > duration::zero());
        AND_THEN("the next one that is refused is to ask later")
        {
            CHECK(it.take(milliseconds(100)).wait > refused.wait);
        }
    }
    SECTION("at most two are saved up")
    {
        it.now += seconds(60) - milliseconds(1);
        unsigned granted = 0;
        while (it.take(duration::zero()).is_granted)
        {
            ++granted;
        }
        CHECK(granted == 2);
    }
    SECTION("one that is given back is granted again")
    {
        it.counter.give_back(server, it.now);
        CHECK(it.take(seconds(1)).wait == second.wait);
    }
    SECTION("one that was spent without asking delays the next")
    {
        it.counter.spend(server, rate, true, it.now);
        CHECK(it.take(seconds(2)).wait == second.wait + milliseconds(500));
    }
    SECTION("a lower rate delays those that are not granted yet")
    {
        CHECK(it.counter.take(server, rate / 2, seconds(4), true, it.now).wait >
              second.wait + milliseconds(250));
    }
}

// Guards against refusals of all requests for a while when a server first names a limit.
TEST_CASE("the first token of a server is due at once")
{
    token_counter counter{time_point{seconds(90)}};
    CHECK(counter.take(server, rate, duration::zero(), true, time_point{seconds(100)})
              .is_granted);

    SECTION("unless the counter has just been started")
    {
        token_counter started{time_point{seconds(100)}};
        CHECK_FALSE(
            started.take(server, rate, duration::zero(), true, time_point{seconds(100)})
                .is_granted);
    }
}

TEST_CASE("a gateway that is not the preferred one hands out fewer tokens")
{
    counter_fixture it;
    unsigned granted = 0;
    for (int n = 0; n < 1000; ++n, it.now += milliseconds(10))
    {
        granted += it.take(duration::zero(), false).is_granted ? 1 : 0;
    }
    CHECK(granted <= 0.4 * rate * 10 + 2);
    CHECK(granted >= 0.3 * rate * 10);
}

// Guards against equal shares of a small limit, which are all used at once.
TEST_CASE("without any counter, the permits of a fleet keep to a part of the limit")
{
    const unsigned gateways = GENERATE(3U, 9U, 540U);
    std::minstd_rand random(7);
    std::vector<random_permits> fleet(gateways);
    std::vector<time_point> sent;
    const time_point start{seconds(100)};
    for (time_point now = start; now < start + seconds(60); now += milliseconds(20))
    {
        for (random_permits& it : fleet)
        {
            const token_decision got =
                it.take(server, rate, gateways, duration::zero(), random, now);
            if (got.is_granted)
            {
                sent.push_back(now);
            }
        }
    }
    CHECK(static_cast<double>(sent.size()) >= 0.3 * rate * 60);
    for (std::size_t n = 0; n < sent.size(); ++n)
    {
        const auto end = std::lower_bound(sent.begin(), sent.end(), sent[n] + seconds(4));
        const auto in_window = end - (sent.begin() + static_cast<std::ptrdiff_t>(n));
        CHECK(static_cast<double>(in_window) <= 1.5 * rate * 4 + 5);
    }
}
