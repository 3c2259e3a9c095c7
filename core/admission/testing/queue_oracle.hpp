#pragma once

// What a queue of one server may do, whatever its policy: a slow check of the actions
// against the events. It knows how long each route takes, and nothing of the queue's
// reasons.

#include "core/admission/queue_action.hpp"
#include "core/admission/queued_request.hpp"
#include "testing/test_headers.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace camphorrock
{

class queue_oracle
{
public:
    queue_oracle(std::map<route_class, duration> service_times, std::size_t max_waiting)
        : service_times_(std::move(service_times)), max_waiting_(max_waiting)
    {
    }

    void arrived(const queued_request& request)
    {
        waiting_.emplace(request.id, request);
    }

    // The owner's own end of a ticket.
    void ended(ticket id)
    {
        waiting_.erase(id);
        started_.erase(id);
    }

    // Each ticket gets one start or refusal, no more than `limit` run at once, of long
    // ones no more than `long_limit`.
    void acted(const queue_actions& actions,
               std::size_t limit,
               std::size_t long_limit,
               time_point now)
    {
        for (const queue_action& it : actions)
        {
            if (const auto* start = std::get_if<start_request>(&it))
            {
                begin(start->id, limit, long_limit, now);
                continue;
            }
            const auto& refusal = std::get<refuse_request>(it);
            RC_ASSERT(refusal.retry_after > duration{});
            RC_ASSERT(waiting_.erase(refusal.id) == 1U);
        }
    }

    // What must hold between events. `limit` may be in flight now.
    void settled(std::size_t limit, std::size_t long_limit, time_point now) const
    {
        RC_ASSERT(waiting_.size() <= max_waiting_);
        std::size_t short_waiting = 0;
        for (const auto& [id, request] : waiting_)
        {
            RC_ASSERT(now + service_times_.at(request.route) <= request.deadline);
            short_waiting += is_long(request) ? 0 : 1;
        }
        if (started_.size() < limit)
        {
            RC_ASSERT(short_waiting == 0U);
            RC_ASSERT(waiting_.empty() || long_started() + overdue(now) >= long_limit);
        }
    }

    std::vector<ticket> waiting() const
    {
        return tickets(waiting_);
    }

    std::vector<ticket> started() const
    {
        return tickets(started_);
    }

    const queued_request& running(ticket id) const
    {
        return started_.at(id);
    }

private:
    using table = std::map<ticket, queued_request>;

    static std::vector<ticket> tickets(const table& from)
    {
        std::vector<ticket> all;
        for (const auto& [id, request] : from)
        {
            all.push_back(id);
        }
        return all;
    }

    bool is_long(const queued_request& request) const
    {
        return service_times_.at(request.route) > milliseconds(100);
    }

    std::size_t long_started() const
    {
        std::size_t n = 0;
        for (const auto& [id, request] : started_)
        {
            n += is_long(request) ? 1 : 0;
        }
        return n;
    }

    // Short requests that run for longer than they should, which may count as long.
    std::size_t overdue(time_point now) const
    {
        std::size_t n = 0;
        for (const auto& [id, request] : started_)
        {
            const bool is_late = now - since_.at(id) > service_times_.at(request.route);
            n += !is_long(request) && is_late ? 1 : 0;
        }
        return n;
    }

    void begin(ticket id, std::size_t limit, std::size_t long_limit, time_point now)
    {
        const auto it = waiting_.find(id);
        RC_ASSERT(it != waiting_.end());
        RC_ASSERT(now <= it->second.deadline);
        started_.insert(waiting_.extract(it));
        since_[id] = now;
        RC_ASSERT(started_.size() <= limit);
        RC_ASSERT(!is_long(started_.at(id)) || long_started() <= long_limit);
    }

    std::map<route_class, duration> service_times_;
    std::size_t max_waiting_;
    table waiting_;
    table started_;
    std::map<ticket, time_point> since_;
};

} // namespace camphorrock
