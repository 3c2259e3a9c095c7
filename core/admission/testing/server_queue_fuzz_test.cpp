#include "core/admission/server_queue.hpp"
#include "core/admission/testing/queue_oracle.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr std::size_t max_waiting = 8;
const route_class lookup("lookup");
const route_class report("report");

duration service_time(const route_class& route)
{
    return route == report ? milliseconds(500) : milliseconds(10);
}

// A queue that has served both routes, so that it knows their service times and its limit
// has reached all slots. The oracle checks each of its actions.
struct checked_queue
{
    checked_queue()
        : oracle({{lookup, service_time(lookup)}, {report, service_time(report)}},
                 max_waiting)
    {
        server_queue_options options;
        options.max_waiting = max_waiting;
        queue = server_queue::create(options, random).value();
        for (int i = 0; i < 200; ++i)
        {
            serve(i % 20 == 0 ? report : lookup);
        }
    }

    void serve(const route_class& route)
    {
        queue_actions out;
        const ticket id{next_id++};
        queue->arrive({id, caller_name("a"), route, now + seconds(60), true}, now, out);
        now += service_time(route);
        queue->finished(id, {answer_kind::good, service_time(route)}, now, out);
    }

    void arrive(const queued_request& request)
    {
        queue_actions out;
        oracle.arrived(request);
        queue->arrive(request, now, out);
        check(out);
    }

    void finish(std::size_t pick, answer_kind answer)
    {
        const std::vector<ticket> in_flight = oracle.in_flight();
        if (in_flight.empty())
        {
            return;
        }
        const ticket id = in_flight[pick % in_flight.size()];
        const duration time_taken = service_time(oracle.in_flight_request(id).route);
        oracle.ended(id);
        queue_actions out;
        queue->finished(id, {answer, time_taken}, now, out);
        check(out);
    }

    void cancel(std::size_t pick)
    {
        std::vector<ticket> unfinished = oracle.waiting();
        const std::vector<ticket> in_flight = oracle.in_flight();
        unfinished.insert(unfinished.end(), in_flight.begin(), in_flight.end());
        if (unfinished.empty())
        {
            return;
        }
        const ticket id = unfinished[pick % unfinished.size()];
        oracle.ended(id);
        queue_actions out;
        queue->cancelled(id, now, out);
        check(out);
    }

    void change_slots(std::size_t n)
    {
        slots = n;
        queue_actions out;
        queue->slots_changed(n, now, out);
        check(out);
    }

    // Advances the time, with the ticks that the queue asks for.
    void advance(duration by)
    {
        const time_point until = now + by;
        while (queue->next_tick() && *queue->next_tick() <= until)
        {
            now = std::max(now, *queue->next_tick());
            tick();
        }
        now = until;
        tick();
    }

    void tick()
    {
        queue_actions out;
        queue->tick(now, out);
        check(out);
        RC_ASSERT(!queue->next_tick() || *queue->next_tick() > now);
    }

    void check(const queue_actions& out)
    {
        const std::size_t limit = std::min(queue->in_flight_limit(), slots);
        oracle.check_actions(out, limit, queue->long_slots(now), now);
        oracle.check_state(limit, queue->long_slots(now), now);
        RC_ASSERT(slots > 0 || oracle.waiting().empty());
        RC_ASSERT(queue->waiting() == oracle.waiting().size());
        RC_ASSERT(queue->in_flight() == oracle.in_flight().size());
    }

    std::mt19937_64 random{1};
    std::unique_ptr<server_queue> queue;
    queue_oracle oracle;
    std::uint64_t next_id = 0;
    std::size_t slots = 3;
    time_point now;
};

// RapidCheck needs a model. This one is empty: the oracle checks the queue instead.
struct empty_model
{
};

using queue_command = rc::state::Command<empty_model, checked_queue>;

struct arrive_command : queue_command
{
    std::size_t caller = *rc::gen::inRange<std::size_t>(0, 4);
    bool is_long = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    int deadline_ms = *rc::gen::inRange(1, 3000);
    bool is_repeatable = *rc::gen::arbitrary<bool>();

    void run(const empty_model&, checked_queue& on) const override
    {
        on.arrive({ticket{on.next_id++},
                   caller_name(std::string(1, static_cast<char>('a' + caller))),
                   is_long ? report : lookup,
                   on.now + milliseconds(deadline_ms),
                   is_repeatable});
    }

    void show(std::ostream& os) const override
    {
        os << (is_long ? "arrive(report, " : "arrive(lookup, ") << deadline_ms << " ms)";
    }
};

struct finish_command : queue_command
{
    std::size_t pick = *rc::gen::inRange<std::size_t>(0, 8);
    answer_kind answer =
        *rc::gen::weightedElement<answer_kind>({{12, answer_kind::good},
                                                {1, answer_kind::failed},
                                                {1, answer_kind::shed},
                                                {1, answer_kind::timed_out}});

    void run(const empty_model&, checked_queue& on) const override
    {
        on.finish(pick, answer);
    }

    void show(std::ostream& os) const override
    {
        os << "finish(" << pick << ", " << name_of(answer) << ")";
    }
};

struct cancel_command : queue_command
{
    std::size_t pick = *rc::gen::inRange<std::size_t>(0, 8);

    void run(const empty_model&, checked_queue& on) const override
    {
        on.cancel(pick);
    }

    void show(std::ostream& os) const override
    {
        os << "cancel(" << pick << ")";
    }
};

struct advance_command : queue_command
{
    int step_ms = *rc::gen::inRange(0, 700);

    void run(const empty_model&, checked_queue& on) const override
    {
        on.advance(milliseconds(step_ms));
    }

    void show(std::ostream& os) const override
    {
        os << "advance(" << step_ms << " ms)";
    }
};

struct slots_command : queue_command
{
    std::size_t slots = *rc::gen::inRange<std::size_t>(0, 7);

    void run(const empty_model&, checked_queue& on) const override
    {
        on.change_slots(slots);
    }

    void show(std::ostream& os) const override
    {
        os << "slots(" << slots << ")";
    }
};

TEST_CASE("server_queue keeps its invariants under random events", "[fuzz]")
{
    rc::prop("each ticket ends once, within the slots, max_waiting and deadlines",
             []
             {
                 checked_queue on;
                 rc::state::check(empty_model{},
                                  on,
                                  rc::state::gen::execOneOfWithArgs<arrive_command,
                                                                    arrive_command,
                                                                    finish_command,
                                                                    cancel_command,
                                                                    advance_command,
                                                                    slots_command>());
                 while (!on.oracle.in_flight().empty())
                 {
                     on.finish(0, answer_kind::good);
                 }
                 on.advance(seconds(10));
                 RC_ASSERT(on.oracle.waiting().empty());
             });
}

} // namespace
} // namespace camphorrock
