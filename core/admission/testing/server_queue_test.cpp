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

// A queue on a healthy server whose routes are known, driven by hand.
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
        const ticket id{next++};
        queue->arrive({id, caller, route, now + deadline, true}, now, out);
        return id;
    }

    void finish(ticket id, duration took, answer_kind answer = answer_kind::good)
    {
        queue->finished(id, {answer, took}, now, out);
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
    std::uint64_t next = 0;
    time_point now;
};

TEST_CASE("Short work keeps its slots while reports are pulled")
{
    driven_queue on;
    GIVEN("three reports at once on three slots")
    {
        const ticket first = on.arrive(adjuster, report, seconds(10));
        const ticket second = on.arrive(adjuster, report, seconds(10));
        on.arrive(adjuster, report, seconds(10));
        THEN("one runs and two wait")
        {
            CHECK(on.has_started(first));
            CHECK(on.queue->in_flight() == 1);
            CHECK(on.queue->waiting() == 2);
            AND_THEN("lookups start at once on the other slots")
            {
                CHECK(on.has_started(on.arrive(builder, lookup, milliseconds(250))));
                CHECK(on.has_started(on.arrive(builder, lookup, milliseconds(250))));
            }
            AND_THEN("the next report follows when the first has ended")
            {
                on.now += milliseconds(500);
                on.finish(first, milliseconds(500));
                CHECK(on.has_started(second));
            }
        }
    }
    GIVEN("a lookup that runs unexpectedly long")
    {
        on.arrive(builder, lookup, seconds(5));
        on.now += milliseconds(400);
        THEN("it counts as long, and no report starts beside it")
        {
            CHECK(on.queue->long_in_flight(on.now) == 1);
            CHECK_FALSE(on.has_started(on.arrive(adjuster, report, seconds(10))));
        }
    }
}

// Plays `length` of a crest in which both kinds of work always wait, and returns the
// share of the slot time that long work got.
double long_share_of_crest(driven_queue& on, duration length)
{
    std::map<ticket, duration> due_in; // of all that was sent
    std::map<ticket, time_point> running;
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

TEST_CASE("Long work gets its least share of a crest of short work, and no more")
{
    GIVEN("a minute in which both kinds always wait")
    {
        driven_queue on;
        const double share = long_share_of_crest(on, seconds(60));
        THEN("long work has the share of the slot time that the options name")
        {
            const double least = server_queue_options{}.least_long_share;
            CHECK(share >= 0.9 * least);
            CHECK(share <= 1.2 * least);
        }
    }
}

TEST_CASE("What cannot end before its deadline is refused at once")
{
    driven_queue on;
    GIVEN("all slots busy and a queue")
    {
        for (int i = 0; i < 30; ++i)
        {
            on.arrive(builder, lookup, milliseconds(500));
        }
        WHEN("a request comes that would have to wait past its deadline")
        {
            const ticket late = on.arrive(builder, lookup, milliseconds(50));
            THEN("it is told when to come back")
            {
                REQUIRE(on.refusal_of(late) != nullptr);
                CHECK(on.refusal_of(late)->reason == refusal_reason::deadline);
                CHECK(on.refusal_of(late)->retry_after > duration{});
            }
        }
        WHEN("many are refused alike")
        {
            std::set<duration> times;
            for (int i = 0; i < 20; ++i)
            {
                const ticket late = on.arrive(builder, lookup, milliseconds(50));
                times.insert(on.refusal_of(late)->retry_after);
            }
            THEN("they are not told to come back together")
            {
                CHECK(times.size() > 10);
            }
        }
        WHEN("the server stands still")
        {
            on.now = *on.queue->next_tick() + seconds(1);
            on.queue->tick(on.now, on.out);
            THEN("nothing waits any longer")
            {
                CHECK(on.queue->waiting() == 0);
            }
        }
    }
}

TEST_CASE("Lookups may count on the slots that reports do not use")
{
    driven_queue on;
    GIVEN("lookups on all slots and reports that wait")
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
        WHEN("more lookups come than can be answered")
        {
            std::size_t admitted = 0;
            for (int i = 0; i < 100; ++i)
            {
                const ticket id = on.arrive(builder, lookup, milliseconds(250));
                admitted += on.refusal_of(id) == nullptr ? 1 : 0;
            }
            THEN(
                "as many are admitted as three slots carry in three quarters of the time")
            {
                CHECK(admitted >= 45);
                CHECK(admitted <= 55);
            }
        }
    }
}

TEST_CASE("A caller that sends little goes ahead of one that floods")
{
    driven_queue on;
    GIVEN("a caller with a long queue of its own")
    {
        std::vector<ticket> flood;
        for (int i = 0; i < 80; ++i)
        {
            flood.push_back(on.arrive(builder, lookup, seconds(2)));
        }
        WHEN("another caller sends one request")
        {
            const ticket modest = on.arrive(adjuster, lookup, seconds(2));
            std::size_t before = 0;
            for (std::size_t i = 0; !on.has_started(modest); ++i)
            {
                on.now += milliseconds(3);
                on.finish(flood[i], milliseconds(10));
                ++before;
            }
            THEN("it waits for a part of the queue only")
            {
                CHECK(before < 40);
            }
        }
    }
}

TEST_CASE("The limit follows what the server does, not what it says")
{
    driven_queue on;
    REQUIRE(on.queue->limit() == 3);
    GIVEN("a server that sheds beside one request in flight")
    {
        on.arrive(builder, lookup, seconds(1));
        const ticket shed = on.arrive(builder, lookup, seconds(1));
        on.now += milliseconds(1);
        on.finish(shed, milliseconds(1), answer_kind::shed);
        THEN("one is sent at a time")
        {
            CHECK(on.queue->limit() == 1);
        }
        WHEN("it answers well for seconds")
        {
            for (int i = 0; i < 60; ++i)
            {
                const ticket id = on.arrive(builder, lookup, seconds(9));
                on.now += milliseconds(50);
                on.finish(on.has_started(id) ? id : ticket{200}, milliseconds(10));
                on.finish(id, milliseconds(10));
            }
            THEN("the limit is back")
            {
                CHECK(on.queue->limit() == 3);
            }
        }
    }
    GIVEN("a single timeout among good answers")
    {
        const ticket slow = on.arrive(builder, lookup, seconds(1));
        on.now += seconds(1);
        on.finish(slow, seconds(1), answer_kind::timed_out);
        THEN("the limit stays")
        {
            CHECK(on.queue->limit() == 3);
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
        THEN("one probe at a time is left")
        {
            CHECK(on.queue->limit() == 1);
        }
    }
}

TEST_CASE("An estimate that has become too high is corrected")
{
    driven_queue on;
    GIVEN("lookups that took far longer than their deadline for a while")
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
            THEN("probes find out, and lookups run again")
            {
                CHECK(on.has_started(on.arrive(builder, lookup, milliseconds(250))));
                CHECK(started >= 100);
            }
        }
    }
}

TEST_CASE("A server that has become slower is learned step by step")
{
    driven_queue on;
    const auto serve = [&](duration took)
    {
        const ticket id = on.arrive(builder, lookup, seconds(60));
        on.now += took;
        on.finish(id, took);
    };
    const auto estimate = [&]
    {
        return on.queue->service_times().estimate(builder, lookup);
    };
    WHEN("one lookup takes a thousand times as long as the others")
    {
        serve(seconds(10));
        THEN("the others are not expected to be late")
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
        THEN("their time is known")
        {
            CHECK(estimate().mean >= milliseconds(95));
            CHECK(estimate().mean <= milliseconds(105));
        }
    }
}

TEST_CASE("A slot that idles tries what is only likely to be late")
{
    driven_queue on;
    GIVEN("lookups that took too long for their deadline, and reports that wait")
    {
        for (int i = 0; i < 100; ++i)
        {
            const bool is_long = i % 4 == 0;
            const duration took = is_long ? seconds(8) : milliseconds(400);
            const ticket id = on.arrive(builder, is_long ? report : lookup, seconds(60));
            on.now += took;
            on.finish(id, took);
        }
        const ticket first = on.arrive(adjuster, report, seconds(60));
        on.arrive(adjuster, report, seconds(60));
        REQUIRE(on.has_started(first));
        REQUIRE(on.queue->waiting() == 1);
        THEN("a lookup is tried on the slot that no report may take")
        {
            on.now += milliseconds(100);
            CHECK(on.has_started(on.arrive(builder, lookup, milliseconds(250))));
        }
    }
    GIVEN("lookups whose bound, but not whose mean, lies beyond their deadline")
    {
        for (int i = 0; i < 100; ++i)
        {
            const duration took = milliseconds(i % 2 == 0 ? 10 : 190);
            const ticket id = on.arrive(builder, lookup, seconds(60));
            on.now += took;
            on.finish(id, took);
        }
        const duration deadline = milliseconds(250);
        REQUIRE(on.queue->service_times().estimate(builder, lookup).bound > deadline);
        WHEN("as many come at once as there are slots, and one more")
        {
            std::size_t started = 0;
            for (int i = 0; i < 3; ++i)
            {
                started += on.has_started(on.arrive(builder, lookup, deadline)) ? 1 : 0;
            }
            const ticket last = on.arrive(builder, lookup, deadline);
            THEN("the slots take them, and the last is refused")
            {
                CHECK(started == 3);
                CHECK(on.refusal_of(last) != nullptr);
            }
        }
        THEN("one that may not be repeated is refused")
        {
            const ticket id{on.next++};
            on.queue->arrive(
                {id, builder, lookup, on.now + deadline, false}, on.now, on.out);
            CHECK(on.refusal_of(id) != nullptr);
        }
    }
}

TEST_CASE("Retries are bounded by what a caller sends first")
{
    retry_budget budget({.share = 0.1, .max_saved = 10, .initial = 0, .max_callers = 2});
    GIVEN("a caller with a hundred first attempts")
    {
        for (int i = 0; i < 100; ++i)
        {
            budget.first_attempt(builder);
        }
        THEN("it may retry about ten times, and no more")
        {
            int spent = 0;
            while (budget.try_spend(builder))
            {
                ++spent;
            }
            CHECK(spent >= 9);
            CHECK(spent <= 10);
        }
        THEN("another caller has gained nothing")
        {
            CHECK_FALSE(budget.try_spend(adjuster));
        }
    }
    GIVEN("more callers than rows")
    {
        for (int i = 0; i < 50; ++i)
        {
            budget.first_attempt(caller_name("caller-" + std::to_string(i)));
        }
        THEN("the table does not grow")
        {
            CHECK(budget.size() == 2);
        }
    }
}

} // namespace
} // namespace camphorrock
