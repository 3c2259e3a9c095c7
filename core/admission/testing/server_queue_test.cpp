#include "core/admission/retry_budget.hpp"
#include "core/admission/server_queue.hpp"
#include "testing/test_headers.hpp"

namespace camphorrock
{
namespace
{

const caller_name builder("builder");
const caller_name adjuster("adjuster");
const route_class lookup("lookup");
const route_class report("report");

// A queue of a healthy server that has served both routes, so that it knows their service
// times and its limit has reached all three slots.
struct driven_queue
{
    driven_queue()
    {
        queue = server_queue::create({}, random).value();
        for (int i = 0; i < 200; ++i)
        {
            const bool is_long = i % 20 == 0;
            const ticket id = arrive(builder, is_long ? report : lookup, seconds(60));
            now += is_long ? milliseconds(500) : milliseconds(10);
            finish(id, is_long ? milliseconds(500) : milliseconds(10));
        }
        out.clear();
    }

    ticket arrive(const caller_name& caller, const route_class& route, duration deadline)
    {
        const ticket id{next_id++};
        queue->arrive({id, caller, route, now + deadline, true}, now, out);
        return id;
    }

    void finish(ticket id, duration time_taken, answer_kind answer = answer_kind::good)
    {
        queue->finished(id, {answer, time_taken}, now, out);
    }

    bool has_started(ticket id) const
    {
        return std::find(out.begin(), out.end(), queue_action{start_request{id}}) !=
               out.end();
    }

    const refuse_request* refusal_of(ticket id) const
    {
        for (const queue_action& it : out)
        {
            const auto* refusal = std::get_if<refuse_request>(&it);
            if (refusal != nullptr && refusal->id == id)
            {
                return refusal;
            }
        }
        return nullptr;
    }

    std::mt19937_64 random{1};
    std::unique_ptr<server_queue> queue;
    queue_actions out;
    std::uint64_t next_id = 0;
    time_point now;
};

TEST_CASE("Lookups start at once while reports are in flight and waiting")
{
    driven_queue on;
    GIVEN("three reports that arrive at once at three slots")
    {
        const ticket first = on.arrive(adjuster, report, seconds(10));
        const ticket second = on.arrive(adjuster, report, seconds(10));
        on.arrive(adjuster, report, seconds(10));
        THEN("one starts and two wait")
        {
            CHECK(on.has_started(first));
            CHECK(on.queue->in_flight() == 1);
            CHECK(on.queue->waiting() == 2);
            AND_THEN("lookups start at once on the other slots")
            {
                CHECK(on.has_started(on.arrive(builder, lookup, milliseconds(250))));
                CHECK(on.has_started(on.arrive(builder, lookup, milliseconds(250))));
            }
            AND_THEN("the next report starts when the first one ends")
            {
                on.now += milliseconds(500);
                on.finish(first, milliseconds(500));
                CHECK(on.has_started(second));
            }
        }
    }
    GIVEN("a lookup that has run for longer than long_threshold()")
    {
        on.arrive(builder, lookup, seconds(5));
        on.now += milliseconds(400);
        THEN("it counts as long, and no report starts while it is in flight")
        {
            CHECK(on.queue->long_in_flight(on.now) == 1);
            CHECK_FALSE(on.has_started(on.arrive(adjuster, report, seconds(10))));
        }
    }
}

// Simulates a peak of the given length, in which short and long requests always wait, and
// returns the fraction of the slot time that long requests get.
double long_fraction_at_peak(driven_queue& on, duration length)
{
    std::map<ticket, duration> due_in;    // of all requests, from their start
    std::map<ticket, time_point> running; // with the time of their end
    duration long_time{};
    const time_point end = on.now + length;
    while (on.now < end)
    {
        for (int i = 0; i < 12; ++i)
        {
            due_in[on.arrive(builder, lookup, milliseconds(250))] = milliseconds(10);
        }
        due_in[on.arrive(adjuster, report, seconds(5))] = milliseconds(500);
        for (const queue_action& it : std::exchange(on.out, {}))
        {
            if (const auto* start = std::get_if<start_request>(&it))
            {
                running[start->id] = on.now + due_in[start->id];
            }
        }
        on.now += milliseconds(10);
        for (const auto& [id, at] : std::map(running))
        {
            if (at <= on.now)
            {
                running.erase(id);
                on.finish(id, due_in[id]);
                long_time += due_in[id] > milliseconds(100) ? due_in[id] : duration{};
            }
        }
    }
    return static_cast<double>(long_time.count()) / static_cast<double>(length.count()) /
           3;
}

TEST_CASE("Long requests get min_long_fraction of the slot time at a peak of short ones")
{
    GIVEN("a minute in which short and long requests always wait")
    {
        driven_queue on;
        const double fraction = long_fraction_at_peak(on, seconds(60));
        THEN("long requests get the configured fraction of the slot time")
        {
            const double least = server_queue_options{}.min_long_fraction;
            CHECK(fraction >= 0.9 * least);
            CHECK(fraction <= 1.2 * least);
        }
    }
}

TEST_CASE("A request that cannot meet its deadline is refused at once")
{
    driven_queue on;
    GIVEN("requests on all slots and in the queue")
    {
        for (int i = 0; i < 30; ++i)
        {
            on.arrive(builder, lookup, milliseconds(500));
        }
        WHEN("a request arrives that would wait beyond its deadline")
        {
            const ticket late = on.arrive(builder, lookup, milliseconds(50));
            THEN("it is refused with a retry_after")
            {
                REQUIRE(on.refusal_of(late) != nullptr);
                CHECK(on.refusal_of(late)->reason == refusal_reason::deadline);
                CHECK(on.refusal_of(late)->retry_after > duration{});
            }
        }
        WHEN("many such requests are refused")
        {
            std::set<duration> times;
            for (int i = 0; i < 20; ++i)
            {
                const ticket late = on.arrive(builder, lookup, milliseconds(50));
                times.insert(on.refusal_of(late)->retry_after);
            }
            THEN("their retry_after values are spread")
            {
                CHECK(times.size() > 10);
            }
        }
        WHEN("the server does not answer until after the deadlines")
        {
            on.now = *on.queue->next_tick() + seconds(1);
            on.queue->tick(on.now, on.out);
            THEN("no request waits any more")
            {
                CHECK(on.queue->waiting() == 0);
            }
        }
    }
}

TEST_CASE("Admission of lookups counts the slots that reports do not use")
{
    driven_queue on;
    GIVEN("lookups on all slots and reports in the queue")
    {
        for (int i = 0; i < 4; ++i)
        {
            on.arrive(builder, lookup, milliseconds(250));
        }
        for (int i = 0; i < 3; ++i)
        {
            on.arrive(adjuster, report, seconds(5));
        }
        REQUIRE(on.queue->long_in_flight(on.now) == 0);
        WHEN("more lookups arrive than can be answered in time")
        {
            std::size_t admitted = 0;
            for (int i = 0; i < 100; ++i)
            {
                const ticket id = on.arrive(builder, lookup, milliseconds(250));
                admitted += on.refusal_of(id) == nullptr ? 1 : 0;
            }
            THEN("as many are admitted as three slots serve in three quarters of the "
                 "slack")
            {
                CHECK(admitted >= 45);
                CHECK(admitted <= 55);
            }
        }
    }
}

TEST_CASE("A caller with few requests is served before the backlog of another caller")
{
    driven_queue on;
    GIVEN("a caller with a long backlog")
    {
        std::vector<ticket> backlog;
        for (int i = 0; i < 80; ++i)
        {
            backlog.push_back(on.arrive(builder, lookup, seconds(2)));
        }
        WHEN("another caller sends one request")
        {
            const ticket single = on.arrive(adjuster, lookup, seconds(2));
            std::size_t before = 0;
            for (std::size_t i = 0; !on.has_started(single); ++i)
            {
                on.now += milliseconds(3);
                on.finish(backlog[i], milliseconds(10));
                ++before;
            }
            THEN("it waits only for a part of the backlog")
            {
                CHECK(before < 40);
            }
        }
    }
}

TEST_CASE("The in-flight limit adapts to the answers of the server")
{
    driven_queue on;
    REQUIRE(on.queue->in_flight_limit() == 3);
    GIVEN("a server that sheds while one other request is in flight")
    {
        on.arrive(builder, lookup, seconds(1));
        const ticket shed = on.arrive(builder, lookup, seconds(1));
        on.now += milliseconds(1);
        on.finish(shed, milliseconds(1), answer_kind::shed);
        THEN("the limit drops to one")
        {
            CHECK(on.queue->in_flight_limit() == 1);
        }
        WHEN("it answers successfully for three seconds")
        {
            for (int i = 0; i < 60; ++i)
            {
                const ticket id = on.arrive(builder, lookup, seconds(9));
                on.now += milliseconds(50);
                on.finish(on.has_started(id) ? id : ticket{200}, milliseconds(10));
                on.finish(id, milliseconds(10));
            }
            THEN("the limit is three again")
            {
                CHECK(on.queue->in_flight_limit() == 3);
            }
        }
    }
    GIVEN("a single timeout among good answers")
    {
        const ticket slow = on.arrive(builder, lookup, seconds(1));
        on.now += seconds(1);
        on.finish(slow, seconds(1), answer_kind::timed_out);
        THEN("the limit does not change")
        {
            CHECK(on.queue->in_flight_limit() == 3);
        }
    }
    GIVEN("answers that all fail")
    {
        for (int i = 0; i < 20; ++i)
        {
            const ticket id = on.arrive(builder, lookup, seconds(1));
            on.now += milliseconds(50);
            on.finish(id, milliseconds(1), answer_kind::failed);
        }
        THEN("the limit drops to one")
        {
            CHECK(on.queue->in_flight_limit() == 1);
        }
    }
}

TEST_CASE("Probes correct an estimate that has become too high")
{
    driven_queue on;
    GIVEN("lookups that took far longer than the deadline of later lookups")
    {
        for (int i = 0; i < 100; ++i)
        {
            const ticket id = on.arrive(builder, lookup, seconds(60));
            on.now += seconds(2);
            on.finish(id, seconds(2));
        }
        WHEN("the server is fast again")
        {
            std::size_t started = 0;
            for (int i = 0; i < 200; ++i)
            {
                const ticket id = on.arrive(builder, lookup, milliseconds(250));
                started += on.has_started(id) ? 1 : 0;
                on.now += seconds(1);
                on.finish(id, milliseconds(10));
            }
            THEN("probes lower the estimate, and lookups are admitted again")
            {
                CHECK(on.has_started(on.arrive(builder, lookup, milliseconds(250))));
                CHECK(started >= 100);
            }
        }
    }
}

TEST_CASE("Estimates follow a slower server in steps")
{
    driven_queue on;
    const auto serve = [&](duration time_taken)
    {
        const ticket id = on.arrive(builder, lookup, seconds(60));
        on.now += time_taken;
        on.finish(id, time_taken);
    };
    const auto estimate = [&]
    {
        return on.queue->service_times().estimate(builder, lookup);
    };
    WHEN("one lookup takes a thousand times as long as the others")
    {
        serve(seconds(10));
        THEN("the bound for later lookups stays below 100 ms")
        {
            CHECK(estimate().bound < milliseconds(100));
        }
    }
    WHEN("all lookups take ten times as long")
    {
        for (int i = 0; i < 200; ++i)
        {
            serve(milliseconds(100));
        }
        THEN("the estimated mean reaches the new time")
        {
            CHECK(estimate().mean >= milliseconds(95));
            CHECK(estimate().mean <= milliseconds(105));
        }
    }
}

TEST_CASE("An idle slot takes a request that is likely, but not certain, to be late")
{
    driven_queue on;
    GIVEN("lookups that take longer than their deadline, and a report that waits")
    {
        for (int i = 0; i < 100; ++i)
        {
            const bool is_long = i % 4 == 0;
            const duration time_taken = is_long ? seconds(8) : milliseconds(400);
            const ticket id = on.arrive(builder, is_long ? report : lookup, seconds(60));
            on.now += time_taken;
            on.finish(id, time_taken);
        }
        const ticket first = on.arrive(adjuster, report, seconds(60));
        on.arrive(adjuster, report, seconds(60));
        REQUIRE(on.has_started(first));
        REQUIRE(on.queue->waiting() == 1);
        THEN("a lookup starts as a probe on a slot that no report may use")
        {
            on.now += milliseconds(100);
            CHECK(on.has_started(on.arrive(builder, lookup, milliseconds(250))));
        }
    }
    GIVEN("lookups whose bound is above their deadline and whose mean is below it")
    {
        for (int i = 0; i < 100; ++i)
        {
            const duration time_taken = milliseconds(i % 2 == 0 ? 10 : 190);
            const ticket id = on.arrive(builder, lookup, seconds(60));
            on.now += time_taken;
            on.finish(id, time_taken);
        }
        const duration deadline = milliseconds(250);
        REQUIRE(on.queue->service_times().estimate(builder, lookup).bound > deadline);
        WHEN("as many arrive at once as there are slots, and one more")
        {
            std::size_t started = 0;
            for (int i = 0; i < 3; ++i)
            {
                started += on.has_started(on.arrive(builder, lookup, deadline)) ? 1 : 0;
            }
            const ticket last = on.arrive(builder, lookup, deadline);
            THEN("they start on all slots, and the last one is refused")
            {
                CHECK(started == 3);
                CHECK(on.refusal_of(last) != nullptr);
            }
        }
        THEN("an unrepeatable lookup is refused")
        {
            const ticket id{on.next_id++};
            on.queue->arrive(
                {id, builder, lookup, on.now + deadline, false}, on.now, on.out);
            CHECK(on.refusal_of(id) != nullptr);
        }
    }
}

TEST_CASE("Retries of a caller are limited to a fraction of its first attempts")
{
    retry_budget budget(
        {.retry_ratio = 0.1, .max_balance = 10, .initial_balance = 0, .max_callers = 2});
    GIVEN("a caller with a hundred first attempts")
    {
        for (int i = 0; i < 100; ++i)
        {
            budget.count_first_attempt(builder);
        }
        THEN("it has nine or ten retries")
        {
            int spent = 0;
            while (budget.try_spend(builder))
            {
                ++spent;
            }
            CHECK(spent >= 9);
            CHECK(spent <= 10);
        }
        THEN("another caller has no retry")
        {
            CHECK_FALSE(budget.try_spend(adjuster));
        }
    }
    GIVEN("more callers than max_callers")
    {
        for (int i = 0; i < 50; ++i)
        {
            budget.count_first_attempt(caller_name("caller-" + std::to_string(i)));
        }
        THEN("the number of balances does not exceed max_callers")
        {
            CHECK(budget.size() == 2);
        }
    }
}

} // namespace
} // namespace camphorrock
