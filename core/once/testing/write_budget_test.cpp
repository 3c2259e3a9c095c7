#include "core/once/once_gate.hpp"
#include "core/once/write_budget.hpp"
#include "testing/test_headers.hpp"

#include <deque>
#include <map>
#include <vector>

using namespace camphorrock;

namespace
{

constexpr duration unit = milliseconds(1);

// The brute-force oracle. It keeps all writes so far, and allows a further one at the
// first time at which no span contains more than 1 + (span + burst_span) / interval
// writes.
struct write_log
{
    duration burst_span;
    std::vector<time_point> writes;
    std::vector<duration> costs; // the interval in force at each write

    bool allows(time_point at, duration cost) const
    {
        duration owed = cost;
        for (std::size_t n = writes.size(); n-- > 0;)
        {
            if (at - writes[n] + burst_span < owed)
            {
                return false;
            }
            owed += costs[n];
        }
        return true;
    }

    time_point earliest(time_point now, duration cost) const
    {
        time_point at = writes.empty() ? now : std::max(now, writes.back());
        while (!allows(at, cost))
        {
            at += unit;
        }
        return at;
    }

    void add(time_point at, duration cost)
    {
        writes.push_back(at);
        costs.push_back(cost);
    }
};

struct budget_run
{
    write_budget budget;
    write_log log;
    time_point now{seconds(10)};

    budget_run(duration burst_span, unsigned interval)
        : budget({burst_span}), log{burst_span, {}, {}}
    {
        set_interval(interval);
    }

    void set_interval(unsigned units)
    {
        budget.set_rate(1000, units); // an interval of `units` ms
    }

    // Asserts that a batch that something waits for is written as early as the oracle
    // allows.
    void reserve()
    {
        time_point expected = log.earliest(now, budget.interval());
        time_point at = std::max(now, budget.reserve(now).earliest);
        RC_ASSERT(at == expected);
        log.add(at, budget.interval());
    }
};

} // namespace

TEST_CASE("a write budget makes each reservation as early as its rate and burst allow")
{
    SECTION("for all sequences of seven pauses")
    {
        constexpr unsigned pauses[] = {0, 1, 2, 5, 9};
        constexpr unsigned length = 7;
        constexpr unsigned sequence_count = 5 * 5 * 5 * 5 * 5 * 5 * 5;
        for (unsigned burst : {0U, 3U, 8U})
        {
            for (unsigned sequence = 0; sequence < sequence_count; ++sequence)
            {
                budget_run it(burst * unit, 4);
                unsigned left = sequence;
                for (unsigned n = 0; n < length; ++n, left /= 5)
                {
                    it.now += pauses[left % 5] * unit;
                    it.reserve();
                }
            }
        }
    }

    rc::prop("while its rate changes",
             []
             {
                 auto draws = *rc::gen::container<std::vector<unsigned>>(
                     100, rc::gen::inRange(0U, 64U));
                 budget_run it(milliseconds(*rc::gen::inRange(0, 40)), 5);
                 for (unsigned draw : draws)
                 {
                     it.now += (draw % 8) * unit;
                     if (draw >= 60)
                     {
                         it.set_interval(1 + draw % 4 * 3);
                     }
                     it.reserve();
                 }
             });
}

TEST_CASE("reservations that are used late, cancelled or not awaited keep the rate")
{
    rc::prop("in any span",
             []
             {
                 duration burst_span = milliseconds(*rc::gen::inRange(0, 40));
                 write_budget budget({burst_span});
                 budget.set_rate(1000, 5);
                 time_point now{seconds(10)};
                 std::vector<time_point> writes;
                 auto draws = *rc::gen::container<std::vector<unsigned>>(
                     100, rc::gen::inRange(0U, 4096U));
                 for (unsigned draw : draws)
                 {
                     now += (draw % 8) * unit;
                     write_reservation reservation = budget.reserve(now);
                     if (draw / 8 % 4 == 0)
                     {
                         budget.cancel(reservation);
                         RC_ASSERT(budget.reserve(now).nominal <= reservation.nominal);
                         budget.cancel(reservation);
                         continue;
                     }
                     bool is_awaited = draw / 32 % 2 == 0;
                     writes.push_back(is_awaited ? std::max(now, reservation.earliest)
                                                 : reservation.nominal);
                 }
                 std::sort(writes.begin(), writes.end());
                 for (std::size_t first = 0; first < writes.size(); ++first)
                 {
                     for (std::size_t last = first; last < writes.size(); ++last)
                     {
                         auto further = static_cast<std::int64_t>(last - first);
                         duration span = writes[last] - writes[first];
                         RC_ASSERT(further * budget.interval() <= span + burst_span);
                     }
                 }
             });

    SECTION("a write without a reservation delays the next ones")
    {
        write_budget budget({duration()});
        budget.set_rate(100, 1);
        time_point now{seconds(10)};
        budget.spend(now);
        budget.spend(now);
        CHECK(budget.reserve(now).earliest == now + milliseconds(20));
    }

    SECTION("a reservation cancelled out of order is lost")
    {
        write_budget budget({duration()});
        budget.set_rate(100, 1);
        time_point now{seconds(10)};
        write_reservation first = budget.reserve(now);
        budget.reserve(now);
        budget.cancel(first);
        CHECK(budget.reserve(now).earliest == now + milliseconds(20));
    }
}

namespace
{

// Gates of several shards that share one budget, and a store that answers after
// store_time.
struct shared_budget
{
    static constexpr duration store_time = milliseconds(2);
    static constexpr duration outcome_delay =
        milliseconds(200); // enough to regain the burst

    struct pending
    {
        time_point due;
        std::size_t gate;
        std::uint64_t number;
    };

    write_budget budget;
    std::vector<std::unique_ptr<once_gate>> gates;
    time_point now{seconds(10)};
    std::deque<pending> calls;
    std::vector<append_action> appends;            // since the constructor's end
    std::vector<std::size_t> append_gates;         // the gate of each append
    std::vector<time_point> append_times;          // the time of each append
    std::map<std::uint64_t, time_point> arrived;   // by waiter
    std::map<std::size_t, duration> longest_waits; // from arrival to run, by gate
    std::uint64_t last_waiter = 0;

    shared_budget(unsigned count, unsigned writes_per_second)
    {
        budget.set_rate(writes_per_second, 1);
        for (unsigned n = 0; n < count; ++n)
        {
            once_options options;
            options.router = instance_id("r1");
            options.writer = 70 + n;
            options.outcome_delay = outcome_delay;
            gates.push_back(std::make_unique<once_gate>(options, budget));
            gates.back()->take_over(now, hash_range(), epoch{1});
            collect(n);
        }
        pass(seconds(2));
        appends.clear();
        append_gates.clear();
        append_times.clear();
    }

    void arrive(std::size_t gate)
    {
        waiter_id waiter{++last_waiter};
        std::string id = std::to_string(waiter.value);
        once_key key{{5}, caller_name("c"), request_id(id)};
        arrived[waiter.value] = now;
        gates[gate]->on_request_received(now,
                                         {waiter, key, 1, epoch{1}, now + seconds(60)});
        collect(gate);
    }

    void collect(std::size_t gate)
    {
        for (once_action& it : gates[gate]->take_actions())
        {
            if (std::holds_alternative<load_action>(it))
            {
                gates[gate]->on_loaded(now, true, {});
                collect(gate);
            }
            else if (const auto* append = std::get_if<append_action>(&it))
            {
                calls.push_back({now + store_time, gate, append->number});
                appends.push_back(*append);
                append_gates.push_back(gate);
                append_times.push_back(now);
            }
            else if (const auto* run = std::get_if<run_action>(&it))
            {
                duration waited = now - arrived[run->waiter.value];
                longest_waits[gate] = std::max(longest_waits[gate], waited);
                auto answer = std::make_shared<const std::string>(payload_bytes, 'x');
                gates[gate]->on_run_finished(now, run->run, {outcome::ran, 200, answer});
                collect(gate);
            }
        }
    }

    void step()
    {
        now += unit;
        while (!calls.empty() && calls.front().due <= now)
        {
            pending it = calls.front();
            calls.pop_front();
            gates[it.gate]->on_append(now, it.number, store_end::done);
            collect(it.gate);
        }
        for (std::size_t n = 0; n < gates.size(); ++n)
        {
            gates[n]->tick(now);
            collect(n);
        }
    }

    void pass(duration by)
    {
        for (time_point end = now + by; now < end;)
        {
            step();
        }
    }

    std::size_t payload_bytes = 300;
};

} // namespace

TEST_CASE("the gates of a router share one write budget")
{
    GIVEN("three gates and an unused budget")
    {
        shared_budget it(3, 50);

        WHEN("an id arrives at each of them at the same time")
        {
            it.arrive(0);
            it.arrive(1);
            it.arrive(2);

            THEN("each is written immediately")
            {
                CHECK(it.appends.size() == 3);
            }
        }
    }

    GIVEN("three gates, of which two have more ids than the budget allows writes")
    {
        shared_budget it(3, 50);
        duration interval = it.budget.interval();
        for (unsigned n = 0; n < 2000; ++n)
        {
            it.arrive(0);
            it.arrive(1);
            if (n % 400 == 0)
            {
                it.arrive(2);
            }
            it.step();
        }

        THEN("no gate waits longer than one round of all gates and its own batch")
        {
            duration most = 2 * 3 * interval + 2 * it.store_time;
            CHECK(it.longest_waits[0] <= most);
            CHECK(it.longest_waits[1] <= most);
            CHECK(it.longest_waits[2] <= most);
        }

        THEN("the number of writes matches the budget: none exceeds it or is left unused")
        {
            CHECK(static_cast<std::int64_t>(it.appends.size()) <=
                  1 + milliseconds(2100) / interval);
            CHECK(it.appends.size() >= 100);
        }
    }

    GIVEN("a gate with more large outcomes than fit into a batch")
    {
        shared_budget it(1, 5);
        it.payload_bytes = 4000;
        for (unsigned n = 0; n < 200; ++n)
        {
            it.arrive(0);
        }
        it.pass(milliseconds(250));
        std::size_t before = it.appends.size();

        WHEN("one more id arrives")
        {
            it.arrive(0);
            it.pass(seconds(1));

            THEN("it is in the next batch, before the outcomes")
            {
                REQUIRE(it.appends.size() > before);
                const auto& entries = it.appends[before].batch.entries;
                CHECK(std::holds_alternative<admitted_entry>(entries.front()));
            }
        }
    }

    GIVEN("a gate with an outcome that waits for a batch with other entries")
    {
        shared_budget it(1, 50);
        it.arrive(0);
        it.pass(milliseconds(10));
        REQUIRE(it.appends.size() == 1);

        WHEN("another id arrives, the outcome is written with it")
        {
            it.arrive(0);
            REQUIRE(it.appends.size() == 2);
            CHECK(it.appends[1].batch.entries.size() == 2);
        }

        WHEN("no id arrives, the outcome is written after outcome_delay")
        {
            it.pass(it.outcome_delay + milliseconds(5));
            CHECK(it.appends.size() == 2);
        }
    }

    GIVEN("five gates with one outcome each and no further ids")
    {
        shared_budget it(5, 50);
        for (std::size_t n = 0; n < it.gates.size(); ++n)
        {
            it.arrive(n);
        }
        it.pass(it.outcome_delay);
        std::size_t before = it.appends.size();

        WHEN("they are due, they are written at the budget's rate and do not use its "
             "burst")
        {
            it.pass(milliseconds(200));
            REQUIRE(it.append_times.size() == before + 5);
            CHECK(it.append_times.back() - it.append_times[before] >=
                  4 * it.budget.interval());
        }

        WHEN("an id arrives at the gate with the latest reservation, it is written at "
             "once")
        {
            it.pass(milliseconds(5));
            it.arrive(it.gates.size() - 1);
            CHECK(it.append_times.back() == it.now);
            CHECK(it.append_gates.back() == it.gates.size() - 1);
        }
    }

    GIVEN("a gate whose range is released while an outcome is queued")
    {
        shared_budget it(1, 50);
        it.arrive(0);
        it.pass(milliseconds(10));
        it.gates[0]->release(it.now, hash_range());
        it.collect(0);

        THEN("the outcome is written before the release")
        {
            REQUIRE(it.appends.size() == 2);
            const auto& entries = it.appends[1].batch.entries;
            REQUIRE(entries.size() == 2);
            CHECK(std::holds_alternative<finished_entry>(entries[0]));
            CHECK(std::holds_alternative<released_entry>(entries[1]));
        }
    }
}

namespace
{

// A gate with ten writes a second and no burst.
struct slow_gate
{
    write_budget budget{{duration()}};
    std::unique_ptr<once_gate> gate;
    time_point now{seconds(10)};

    slow_gate()
    {
        budget.set_rate(10, 1);
        once_options options;
        options.router = instance_id("r1");
        options.writer = 70;
        gate = std::make_unique<once_gate>(options, budget);
        gate->take_over(now, hash_range(), epoch{2});
        gate->take_actions();
        gate->on_loaded(now, true, {}); // then appends its claim
    }

    template<class Action>
    std::optional<Action> take_action()
    {
        for (once_action& it : gate->take_actions())
        {
            if (auto* found = std::get_if<Action>(&it))
            {
                return *found;
            }
        }
        return std::nullopt;
    }

    void wait_until_next()
    {
        now = *gate->next_tick();
        gate->tick(now);
    }
};

} // namespace

TEST_CASE("writes without a reservation delay those with one")
{
    slow_gate it;
    time_point start = it.now;
    std::uint64_t number = it.take_action<append_action>()->number;

    SECTION("the fence of a predecessor")
    {
        claimed_entry claim{hash_range(), epoch{1}};
        it.gate->on_append(it.now, number, store_end::done);
        REQUIRE(it.take_action<load_action>());
        it.gate->on_loaded(it.now, true, {{instance_id("r2"), 1, {9, {claim}}}});
        std::optional<fence_action> fence = it.take_action<fence_action>();
        REQUIRE(fence); // at once
        it.gate->on_fence(it.now, fence->router, fence->number, store_end::done);
    }
    SECTION("a batch that is appended again")
    {
        it.gate->on_append(it.now, number, store_end::unknown);
        it.wait_until_next();
        REQUIRE(it.take_action<append_action>());
        it.gate->on_append(it.now, number, store_end::done);
        REQUIRE(it.take_action<load_action>());
        it.gate->on_loaded(it.now, true, {});
    }

    once_key key{{5}, caller_name("c"), request_id("a")};
    it.gate->on_request_received(it.now, {{1}, key, 1, epoch{2}, it.now + seconds(60)});
    CHECK_FALSE(it.take_action<append_action>());
    it.wait_until_next();
    CHECK(it.take_action<append_action>());
    CHECK(it.now == start + 2 * it.budget.interval());
}

TEST_CASE("a gate whose append failed holds no reservation until it may retry")
{
    slow_gate it;
    time_point start = it.now;
    it.gate->on_append(
        it.now, it.take_action<append_action>()->number, store_end::failed);
    CHECK(it.budget.reserve(it.now).nominal == start + it.budget.interval());

    it.wait_until_next();
    CHECK_FALSE(it.take_action<append_action>()); // its reservation follows the test's
    it.wait_until_next();
    CHECK(it.take_action<append_action>());
    CHECK(it.now == start + 2 * it.budget.interval());
}

TEST_CASE("the journal frees an id that did not run before it admits the id again")
{
    slow_gate it;
    once_key key{{5}, caller_name("c"), request_id("a")};
    auto write = [&]
    {
        it.wait_until_next();
        std::optional<append_action> append = it.take_action<append_action>();
        REQUIRE(append);
        it.gate->on_append(it.now, append->number, store_end::done);
        return append->batch.entries;
    };
    it.gate->on_append(it.now, it.take_action<append_action>()->number, store_end::done);
    REQUIRE(it.take_action<load_action>());
    it.gate->on_loaded(it.now, true, {});

    it.gate->on_request_received(it.now, {{1}, key, 1, epoch{2}, it.now + seconds(60)});
    write();
    std::optional<run_action> run = it.take_action<run_action>();
    REQUIRE(run);
    it.gate->on_run_finished(it.now, run->run, {outcome::not_run, 0, nullptr});
    it.gate->on_request_received(it.now, {{2}, key, 1, epoch{2}, it.now + seconds(60)});

    std::vector<journal_entry> entries = write();
    REQUIRE(entries.size() == 2);
    CHECK(std::holds_alternative<finished_entry>(entries[0]));
    CHECK(std::holds_alternative<admitted_entry>(entries[1]));
}
