#pragma once

// Checks the actions of a queue of one server against the events, independently of the
// queue's policy. The oracle knows how long each route takes. Each check is O(requests).

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

    // The owner reports the end of a request: it left its slot or was cancelled.
    void ended(ticket id)
    {
        waiting_.erase(id);
        in_flight_.erase(id);
    }

    // Checks that each ticket gets one start or refusal, and that no request starts while
    // `limit` requests, or a long one while `long_limit` long ones, are in flight.
    void check_actions(const queue_actions& actions,
                       std::size_t limit,
                       std::size_t long_limit,
                       time_point now)
    {
        for (const queue_action& it : actions)
        {
            if (const auto* start = std::get_if<start_request>(&it))
            {
                check_start(start->id, limit, long_limit, now);
                continue;
            }
            const auto& refusal = std::get<refuse_request>(it);
            RC_ASSERT(refusal.retry_after > duration{});
            RC_ASSERT(waiting_.erase(refusal.id) == 1U);
        }
    }

    // Checks what must hold between events: a bounded number of requests waits, each of
    // which can still meet its deadline, and none waits that may use a free slot.
    void check_state(std::size_t limit, std::size_t long_limit, time_point now) const
    {
        RC_ASSERT(waiting_.size() <= max_waiting_);
        std::size_t short_waiting = 0;
        for (const auto& [id, request] : waiting_)
        {
            RC_ASSERT(now + service_times_.at(request.route) <= request.deadline);
            short_waiting += is_long(request) ? 0 : 1;
        }
        if (in_flight_.size() < limit)
        {
            RC_ASSERT(short_waiting == 0U);
            RC_ASSERT(waiting_.empty() || long_in_flight() + overdue(now) >= long_limit);
        }
    }

    std::vector<ticket> waiting() const
    {
        return tickets(waiting_);
    }

    std::vector<ticket> in_flight() const
    {
        return tickets(in_flight_);
    }

    const queued_request& in_flight_request(ticket id) const
    {
        return in_flight_.at(id);
    }

private:
    using request_map = std::map<ticket, queued_request>;

    static std::vector<ticket> tickets(const request_map& from)
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

    std::size_t long_in_flight() const
    {
        std::size_t n = 0;
        for (const auto& [id, request] : in_flight_)
        {
            n += is_long(request) ? 1 : 0;
        }
        return n;
    }

    // The short requests in flight for longer than their route takes. The queue may count
    // them as long.
    std::size_t overdue(time_point now) const
    {
        std::size_t n = 0;
        for (const auto& [id, request] : in_flight_)
        {
            const bool is_late =
                now - started_at_.at(id) > service_times_.at(request.route);
            n += !is_long(request) && is_late ? 1 : 0;
        }
        return n;
    }

    void check_start(ticket id, std::size_t limit, std::size_t long_limit, time_point now)
    {
        const auto it = waiting_.find(id);
        RC_ASSERT(it != waiting_.end());
        RC_ASSERT(now <= it->second.deadline);
        in_flight_.insert(waiting_.extract(it));
        started_at_[id] = now;
        RC_ASSERT(in_flight_.size() <= limit);
        RC_ASSERT(!is_long(in_flight_.at(id)) || long_in_flight() <= long_limit);
    }

    std::map<route_class, duration> service_times_;
    std::size_t max_waiting_;
    request_map waiting_;
    request_map in_flight_;
    std::map<ticket, time_point> started_at_;
};

} // namespace camphorrock
