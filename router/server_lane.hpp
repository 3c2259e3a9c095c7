#pragma once

// The way of requests to one server that this router schedules: its queue, its slots and
// the HTTP exchanges in flight.
//
//     lane.submit(request, [](lane_end end) { ... });
//
// Each submitted request ends in one callback, unless it is withdrawn. Right before a
// request is sent the scheduler's authority is asked again, since a pause can fall
// between the queue's decision and the sending.

#include "core/admission/queue_policy.hpp"
#include "core/balance/partition_load.hpp"
#include "core/ownership/scheduler_authority.hpp"
#include "router/live_request.hpp"
#include "router/router_parts.hpp"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace camphorrock
{

enum class lane_verdict
{
    answered, // the server's whole answer is here
    not_run,  // the server has not run it and will not
    unknown,  // it was sent and no whole answer came
};

struct lane_end
{
    lane_verdict verdict = lane_verdict::not_run;
    http_response answer; // for `answered`
    problem why;          // for the others
};

// Figures since the last call of take_figures().
struct lane_figures
{
    std::uint64_t answered = 0;
    std::uint64_t shed = 0;
    duration slot_time{};
};

class server_lane
{
public:
    using callback = std::function<void(lane_end)>;

    // Fails if the queue's options are out of range. `parts`, `authority` and `load` must
    // outlive the lane.
    static result<std::unique_ptr<server_lane>> create(router_parts& parts,
                                                       scheduler_authority& authority,
                                                       partition_load& load,
                                                       server_id server,
                                                       std::size_t slots);

    ticket submit(live_request_ptr request, callback done);

    // The caller is gone: forget the request, and close its exchange if it may be
    // repeated.
    void withdraw(ticket id);

    // The connections to the server have gone silent: sends the repeatable requests that
    // went out before `sent_before` once more, on new connections.
    void resend(time_point sent_before);

    lane_figures take_figures();

    std::size_t waiting() const
    {
        return queue_->waiting();
    }

    std::size_t in_flight() const
    {
        return queue_->in_flight();
    }

private:
    struct pending
    {
        live_request_ptr request;
        callback done;
        exchange_id exchange; // zero: not sent
        endpoint address;
        time_point sent_at;
        bool is_resent = false;
    };

    // The queue gave it a slot, but it may not be sent.
    struct not_sent
    {
        ticket id;
        refusal why;
    };

    server_lane(router_parts& parts,
                scheduler_authority& authority,
                partition_load& load,
                server_id server,
                std::unique_ptr<queue_policy> queue);

    void carry_out(const queue_actions& actions);
    void start(ticket id);
    void refuse_not_sent();
    void
    send(ticket id, pending& it, const request_permit& permit, connection_choice choice);
    void ended(ticket id, exchange_result got);
    void end(ticket id, lane_end how);
    void leave_slot(ticket id, answer_kind answer, duration service_time);
    void arm_timer();
    http_request make_request(const live_request& request, epoch since) const;

    router_parts& parts_;
    scheduler_authority& authority_;
    partition_load& load_;
    server_id server_;
    std::unique_ptr<queue_policy> queue_;
    std::unordered_map<ticket, pending> pending_;
    std::uint64_t last_ticket_ = 0;
    lane_figures figures_;
    timer_handle timer_;
    std::vector<not_sent> not_sent_; // until the loop's next turn
    timer_handle not_sent_timer_;    // ends with the lane, which may be dropped before
};

} // namespace camphorrock
