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

// A queue that has learned both routes, with its oracle.
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
            serve_one(i % 20 == 0 ? report : lookup);
        }
    }

    void serve_one(const route_class& route)
    {
        queue_actions out;
        const ticket id{next++};
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
        const std::vector<ticket> running = oracle.started();
        if (running.empty())
        {
            return;
        }
        const ticket id = running[pick % running.size()];
        const duration took = service_time(oracle.running(id).route);
        oracle.ended(id);
        queue_actions out;
        queue->finished(id, {answer, took}, now, out);
        check(out);
    }

    void cancel(std::size_t pick)
    {
        std::vector<ticket> all = oracle.waiting();
        const std::vector<ticket> running = oracle.started();
        all.insert(all.end(), running.begin(), running.end());
        if (all.empty())
        {
            return;
        }
        const ticket id = all[pick % all.size()];
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

    // Goes on in time, with the ticks that the queue asked for.
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
        const std::size_t limit = std::min(queue->limit(), slots);
        oracle.acted(out, limit, queue->long_slots(now), now);
        oracle.settled(limit, queue->long_slots(now), now);
        RC_ASSERT(slots > 0 || oracle.waiting().empty());
        RC_ASSERT(queue->waiting() == oracle.waiting().size());
        RC_ASSERT(queue->in_flight() == oracle.started().size());
    }

    std::mt19937_64 random{1};
    std::unique_ptr<server_queue> queue;
    queue_oracle oracle;
    std::uint64_t next = 0;
    std::size_t slots = 3;
    time_point now;
};

// The model has no say: what a queue may do is left open, and the oracle judges it.
struct no_model
{
};

using queue_command = rc::state::Command<no_model, checked_queue>;

struct arrive_command : queue_command
{
    std::size_t caller = *rc::gen::inRange<std::size_t>(0, 4);
    bool is_long = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    int deadline_ms = *rc::gen::inRange(1, 3000);
    bool is_repeatable = *rc::gen::arbitrary<bool>();

    void run(const no_model&, checked_queue& on) const override
    {
        on.arrive({ticket{on.next++},
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

    void run(const no_model&, checked_queue& on) const override
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

    void run(const no_model&, checked_queue& on) const override
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
    int by_ms = *rc::gen::inRange(0, 700);

    void run(const no_model&, checked_queue& on) const override
    {
        on.advance(milliseconds(by_ms));
    }

    void show(std::ostream& os) const override
    {
        os << "advance(" << by_ms << " ms)";
    }
};

struct slots_command : queue_command
{
    std::size_t slots = *rc::gen::inRange<std::size_t>(0, 7);

    void run(const no_model&, checked_queue& on) const override
    {
        on.change_slots(slots);
    }

    void show(std::ostream& os) const override
    {
        os << "slots(" << slots << ")";
    }
};

TEST_CASE("A server's queue keeps its rules whatever happens", "[fuzz]")
{
    rc::prop("each ticket ends once, within slots, budget and deadlines",
             []
             {
                 checked_queue on;
                 rc::state::check(no_model{},
                                  on,
                                  rc::state::gen::execOneOfWithArgs<arrive_command,
                                                                    arrive_command,
                                                                    finish_command,
                                                                    cancel_command,
                                                                    advance_command,
                                                                    slots_command>());
                 while (!on.oracle.started().empty())
                 {
                     on.finish(0, answer_kind::good);
                 }
                 on.advance(seconds(10));
                 RC_ASSERT(on.oracle.waiting().empty());
             });
}

} // namespace
} // namespace camphorrock
