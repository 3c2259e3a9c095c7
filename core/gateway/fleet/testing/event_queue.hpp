#pragma once

// The virtual time of a simulation, and what is to happen in it. Events at the same time
// happen in the order in which they were scheduled.
//
//     event_queue events(time_point(seconds(1000)));
//     events.schedule(milliseconds(5), [&] { ... });
//     events.run(seconds(1));

#include "core/base/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace camphorrock::testing
{

class event_queue
{
public:
    explicit event_queue(time_point start) : now_(start) {}

    time_point now() const
    {
        return now_;
    }

    void schedule(duration delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++last_number_, std::move(action)});
    }

    // Runs the events before the end of the span, also those that they schedule.
    void run(duration span)
    {
        const time_point end = now_ + span;
        while (!events_.empty() && events_.top().at < end)
        {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            next.action();
        }
        now_ = end;
    }

private:
    struct event
    {
        time_point at{};
        std::uint64_t number = 0;
        std::function<void()> action;
    };

    struct is_later
    {
        bool operator()(const event& a, const event& b) const
        {
            return std::pair(a.at, a.number) > std::pair(b.at, b.number);
        }
    };

    time_point now_;
    std::uint64_t last_number_ = 0;
    std::priority_queue<event, std::vector<event>, is_later> events_;
};

} // namespace camphorrock::testing
