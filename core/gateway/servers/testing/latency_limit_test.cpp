#include "core/gateway/servers/latency_limit.hpp"
#include "core/gateway/servers/testing/latency_simulation.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>
#include <array>

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

const server_id only("s");
constexpr unsigned slots = 12; // of all servers of a latency_simulation

// A pool with one server of three slots, which answers in 100 ms.
struct one_server
{
    explicit one_server(unsigned seed = 1) : random(seed)
    {
        entry.entry.id = only;
        entry.entry.slots = 3;
        pool.update({&entry}, now);
    }

    server_choice choose()
    {
        return *pool.choose({}, random, now);
    }

    void answer(duration elapsed)
    {
        const server_choice to = choose();
        pool.attempt_started(to, now);
        pool.attempt_ended(to, attempt_end::answered, elapsed, now);
    }

    time_point now{seconds(100)};
    known_server entry;
    server_pool pool{data_centre("z")};
    std::minstd_rand random;
};

server_choice choice_of(duration service, unsigned load)
{
    server_choice made;
    made.slots = 3;
    made.load = load;
    made.expected_service = service;
    const unsigned waiting = load + 1 > made.slots ? load + 1 - made.slots : 0;
    made.expected_latency = service + service * waiting / made.slots;
    return made;
}

bool is_sent(const server_choice& to, duration time_left, duration target)
{
    return is_worth_sending(to, latency_limit(to, {time_left, target}));
}

} // namespace

TEST_CASE("the deadline decides what is sent, the target limits the queue")
{
    constexpr duration slow = milliseconds(900);
    constexpr duration target = milliseconds(500);

    SECTION("while a slot is free, a service time above the target refuses nothing")
    {
        CHECK(is_sent(choice_of(slow, 2), seconds(2), target));
        CHECK(is_sent(choice_of(slow, 3), seconds(2), target));
    }
    SECTION("an answer that is expected after the deadline is not asked for")
    {
        CHECK_FALSE(is_sent(choice_of(slow, 0), milliseconds(800), target));
    }
    SECTION("a queue above the target is refused")
    {
        CHECK_FALSE(is_sent(choice_of(milliseconds(200), 9), seconds(2), target));
        CHECK(is_sent(choice_of(milliseconds(200), 5), seconds(2), target));
    }
    SECTION("where the service time alone uses the target up, half of it may be waited")
    {
        CHECK_FALSE(is_sent(choice_of(slow, 4), seconds(2), target));
        CHECK(is_sent(choice_of(slow, 3), seconds(2), target));
    }
    SECTION("a probe that is due is sent, but not after the deadline")
    {
        server_choice probe = choice_of(slow, 0);
        probe.evidence.is_probe_due = true;
        CHECK(is_sent(probe, milliseconds(800), target));
        CHECK_FALSE(is_sent(probe, milliseconds(-1), target));
    }
}

TEST_CASE("a refusal without a queue is stale after a second without an attempt")
{
    server_choice to = choice_of(milliseconds(900), 3);
    to.evidence.untested = milliseconds(1001);
    CHECK(is_stale(make_rejected_latency(to, milliseconds(800))));

    SECTION("not before, and not if it came too late for any server")
    {
        CHECK_FALSE(is_stale(make_rejected_latency(to, milliseconds(-1))));
        to.evidence.untested = seconds(1);
        CHECK_FALSE(is_stale(make_rejected_latency(to, milliseconds(800))));
    }
    SECTION("a queue is known from the requests in flight")
    {
        to = choice_of(milliseconds(900), 4);
        to.evidence.untested = seconds(2);
        CHECK_FALSE(is_stale(make_rejected_latency(to, milliseconds(800))));
    }
}

TEST_CASE("an estimate that is not renewed moves to the service's mean time")
{
    one_server it;
    known_server other;
    other.entry.id = server_id("other");
    other.entry.slots = 3;
    it.pool.update({&it.entry, &other}, it.now);
    const duration before = it.pool.mean_service_time();
    server_choice to = it.choose();
    to.server = only;
    for (int n = 0; n < 20; ++n)
    {
        it.pool.attempt_ended(to, attempt_end::answered, seconds(1), it.now);
    }
    const server_criteria owned{{}, only, {}};
    const auto excess = [&]
    {
        return it.pool.choose(owned, it.random, it.now)->expected_service -
               it.pool.mean_service_time();
    };
    const duration first = excess();
    REQUIRE(it.pool.mean_service_time() > before);
    REQUIRE(first > milliseconds(100));
    it.now += seconds(3);
    CHECK(excess() == first);
    it.now += seconds(1);
    CHECK(excess().count() == Approx(first.count() / 2.0).epsilon(0.01));
    it.now += seconds(1);
    CHECK(excess().count() == Approx(first.count() / 4.0).epsilon(0.01));

    SECTION("the next answer weighs as much as it has moved")
    {
        const duration expected =
            it.pool.choose(owned, it.random, it.now)->expected_service;
        it.pool.attempt_ended(to, attempt_end::answered, milliseconds(40), it.now);
        const duration got = it.pool.choose(owned, it.random, it.now)->expected_service;
        CHECK((expected - got).count() ==
              Approx(0.75 * static_cast<double>((expected - milliseconds(40)).count()))
                  .epsilon(0.01));
    }
    SECTION("and names its age and the answers that it rests on")
    {
        const latency_evidence got = it.pool.choose(owned, it.random, it.now)->evidence;
        CHECK(got.age == seconds(5));
        CHECK(got.answers == 20);
    }
}

TEST_CASE("a server that gets no requests is probed within a second")
{
    one_server it;
    it.answer(milliseconds(100));
    it.now += milliseconds(499);
    CHECK_FALSE(it.choose().evidence.is_probe_due);
    it.now += milliseconds(501);
    CHECK(it.choose().evidence.is_probe_due);

    SECTION("once, until it is due again")
    {
        it.pool.attempt_started(it.choose(), it.now);
        it.now += milliseconds(499);
        CHECK_FALSE(it.choose().evidence.is_probe_due);
        it.now += milliseconds(501);
        CHECK(it.choose().evidence.is_probe_due);
    }
    SECTION("an owner of keys only while at most one request would wait")
    {
        CHECK(it.pool.choose({{}, only, 3}, it.random, it.now)->evidence.is_probe_due);
        CHECK_FALSE(
            it.pool.choose({{}, only, 4}, it.random, it.now)->evidence.is_probe_due);
    }
    SECTION("a server with a queue more seldom, the more gateways there are")
    {
        remote_loads loads;
        loads.add_report({1, 1, {{tag_of(only), 4}}}, it.now);
        it.pool.set_remote_loads(loads, 2);
        REQUIRE(it.choose().load == 4);
        CHECK_FALSE(it.choose().evidence.is_probe_due);
        it.now += seconds(1);
        CHECK(it.choose().evidence.is_probe_due);

        AND_THEN("and not at all while the requests in flight fill its slots twice")
        {
            loads.add_report({1, 2, {{tag_of(only), 6}}}, it.now);
            it.pool.set_remote_loads(loads, 2);
            REQUIRE(it.choose().load == 6);
            CHECK_FALSE(it.choose().evidence.is_probe_due);
        }
    }
}

TEST_CASE(
    "many gateways that last used a server at the same moment probe it at different "
    "ones")
{
    constexpr unsigned gateways = 195;
    constexpr unsigned steps = 100; // of 10 ms
    std::array<unsigned, steps + 1> probes{};
    for (unsigned n = 0; n < gateways; ++n)
    {
        one_server it(n + 1);
        for (int draw = 0; draw < 10; ++draw)
        {
            it.answer(milliseconds(100));
        }
        unsigned step = 0;
        for (; !it.choose().evidence.is_probe_due; ++step)
        {
            it.now += milliseconds(10);
        }
        REQUIRE(step <= steps);
        ++probes.at(step);
    }
    CHECK(*std::max_element(probes.begin(), probes.end()) <= gateways / 10);
}

// Guards against a gateway that refuses every request for good, since it expects an
// answer above the target, and nothing is sent that could show otherwise.
TEST_CASE("servers that are slower than the target are used for as long as they are")
{
    latency_options options;
    options.work = milliseconds(900);
    options.target = milliseconds(550);
    options.time_limit = seconds(2);
    constexpr int length_s = 60;
    const double capacity = slots / 0.9 * length_s;

    SECTION("below their capacity, nothing is refused")
    {
        options.clients = 4;
        latency_simulation it(options);
        const latency_counts got = it.run(seconds(length_s));
        CHECK(got.refused == 0);
        CHECK(got.answered > 4 / 0.9 * (length_s - 1));
    }
    SECTION("above it, they run at least 0.9 of what they can")
    {
        options.clients = GENERATE(16U, 40U);
        options.gateways = GENERATE(1U, 9U);
        latency_simulation it(options);
        const latency_counts got = it.run(seconds(length_s));
        CAPTURE(options.clients, options.gateways, got.refused, got.timed_out);
        CHECK(got.answered > 0.9 * capacity);
        CHECK(got.stale == 0);
    }
}

TEST_CASE("after all servers were slow, requests are served again within two seconds")
{
    latency_options options;
    options.work = milliseconds(100);
    options.target = milliseconds(440);
    options.time_limit = seconds(1);
    options.clients = GENERATE(4U, 24U);
    options.gateways = GENERATE(1U, 9U);
    const int factor = GENERATE(7, 30);
    latency_simulation it(options);
    CAPTURE(options.clients, options.gateways, factor);
    CHECK(it.run(seconds(3)).refused == 0);
    it.set_work(options.work * factor);
    CHECK(it.run(seconds(18)).stale == 0);
    it.set_work(options.work);
    it.run(seconds(2));
    const latency_counts after = it.run(seconds(10));
    CAPTURE(after.answered, after.refused, after.shed);
    CHECK(after.timed_out == 0);
    if (options.clients < slots)
    {
        CHECK(after.refused == 0);
    }
    else
    {
        CHECK(after.answered > 0.9 * slots * (seconds(10) / options.work));
    }
}
