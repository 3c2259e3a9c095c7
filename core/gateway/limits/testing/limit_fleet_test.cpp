#include "core/gateway/limits/testing/limit_simulation.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

constexpr double window_seconds = 4;
constexpr duration start_time = seconds(4); // then the counter has settled

// The stated targets.
double target_arrivals(double limit)
{
    return 1.15 * limit * window_seconds + 2;
}

constexpr double target_use = 0.9;

// What the servers' rule allows, for times with faults.
double allowed_arrivals(double limit)
{
    return 1.5 * limit * window_seconds + 5;
}

// Two for each question: one for each token, two for each that is due while others have
// been refused, and one of each gateway after its longest pause.
double expected_messages(const limit_simulation_options& it)
{
    const double pause =
        std::chrono::duration<double>(token_counter_options().max_return_wait).count();
    const double questions = 3 * it.limit + it.gateways / pause;
    const double repeats = 1 + 4 * it.lost_fraction;
    return 2 * questions * repeats;
}

std::string text_of(const limit_simulation_options& it)
{
    return std::to_string(it.gateways) + " gateways, first share " +
           std::to_string(it.first_share) + ", lost " + std::to_string(it.lost_fraction) +
           ", demand " + std::to_string(it.demand);
}

} // namespace

// Guards against limits that are kept by each gateway alone: broken by many small
// demands, or wasted where one gateway has all of it (LIMIT).
TEST_CASE("a fleet keeps to a server's limit and uses it, whoever has the demand")
{
    limit_simulation_options options;
    options.gateways = GENERATE(10U, 69U, 195U, 540U);
    options.first_share = GENERATE(0.0, 0.8, 1.0);
    options.lost_fraction = GENERATE(0.0, 0.05);
    options.demand = GENERATE(15.0, 150.0);
    INFO(text_of(options));
    limit_simulation it(options);
    it.run(seconds(60));
    CHECK(static_cast<double>(it.worst_window()) <= target_arrivals(options.limit));
    CHECK(it.used_fraction(it.now() - seconds(60) + start_time) >= target_use);
    CHECK(it.messages_per_second() <= expected_messages(options));
}

// Guards against a counter whose loss stops the requests, or lets its successor hand the
// same tokens out again.
TEST_CASE("without the gateway that counts, the others keep to the limit")
{
    limit_simulation_options options;
    options.seed = GENERATE(1U, 2U, 3U);
    options.gateways = GENERATE(3U, 10U, 195U);
    limit_simulation it(options);
    it.run(seconds(8));
    const unsigned counting = it.counting_gateway();
    const time_point fault_at = it.now();

    SECTION("while it is silent, the next in rank hands out fewer tokens")
    {
        it.freeze(counting, seconds(20));
        it.run(seconds(20));
        CHECK(it.used_fraction(fault_at) >= 0.25);
    }
    SECTION("when it is back, the limit is used again")
    {
        it.freeze(counting, seconds(5));
        it.run(seconds(10));
        const time_point back_at = it.now();
        it.run(seconds(20));
        CHECK(it.used_fraction(back_at) >= target_use);
    }
    SECTION("when it restarts, it does not hand out tokens that its last run did")
    {
        for (int n = 0; n < 5; ++n)
        {
            it.restart(counting, milliseconds(500));
            it.run(seconds(2));
        }
    }
    SECTION("when all restart in turn, there is no wave")
    {
        for (unsigned n = 0; n < options.gateways; ++n)
        {
            it.restart(n, milliseconds(500));
            it.run(milliseconds(300));
        }
    }
    SECTION("when the fleet is cut in two, the sides together keep to it")
    {
        it.cut(options.gateways / 2, seconds(20));
        it.run(seconds(25));
        // All of the demand may be on the side without the counter.
        CHECK(it.used_fraction(fault_at) >= 0.25);
    }
    SECTION("when it leaves the fleet, its successor counts")
    {
        it.set_fleet([&](unsigned n) { return n != counting; });
        it.freeze(counting, seconds(60));
        it.run(seconds(4));
        const time_point left_at = it.now();
        it.run(seconds(20));
        CHECK(it.used_fraction(left_at) >= 0.85);
    }
    CHECK(static_cast<double>(it.worst_window()) <= allowed_arrivals(options.limit));
    it.run(seconds(2));
    CHECK(it.undecided() <= options.demand);
}

TEST_CASE("a limit that falls or rises is kept and used")
{
    limit_simulation_options options;
    options.limit = 20;
    options.demand = 100;
    limit_simulation it(options);
    it.run(seconds(8));
    it.set_limit(2);
    it.run(seconds(1));
    const time_point fell_at = it.now();
    it.run(seconds(20));
    CHECK(static_cast<double>(it.worst_window(fell_at)) <= target_arrivals(2));
    CHECK(it.used_fraction(fell_at) >= target_use);
    it.set_limit(40);
    it.run(seconds(5)); // those that were refused ask again within 4 s
    const time_point rose_at = it.now();
    it.run(seconds(10));
    CHECK(static_cast<double>(it.worst_window(rose_at)) <= target_arrivals(40));
    CHECK(it.used_fraction(rose_at) >= target_use);
}

// Guards against a large fleet that restarts at once, and whose gateways each take a
// share of the limit for a smaller fleet (LIMIT).
TEST_CASE("gateways that do not know their fleet keep to a server's limit together")
{
    limit_simulation_options options;
    options.gateways = 540;
    options.demand = 10000;
    limit_simulation it(options);
    it.forget_fleet();
    it.run(seconds(20));
    CHECK(static_cast<double>(it.worst_window()) <= allowed_arrivals(options.limit));
}
