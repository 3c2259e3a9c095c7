#pragma once

// Sends requests to one server that this router schedules: holds the server's queue, its
// slots and the HTTP exchanges in flight.
//
//     dispatcher.submit(request, [](dispatch_result result) { ... });
//
// Each submitted request ends in exactly one callback, unless it is withdrawn. The
// scheduler's authority is checked again right before a request is sent, since the
// process can be paused between the queue's decision and the attempt.

#include "core/admission/queue_policy.hpp"
#include "core/balance/partition_load.hpp"
#include "core/ownership/scheduler_authority.hpp"
#include "router/live_request.hpp"
#include "router/router_context.hpp"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace camphorrock
{

enum class dispatch_end
{
    answered, // the server's complete answer was received
    not_run,  // the server has not run it and will not
    unknown,  // it was sent and no complete answer was received
};

struct dispatch_result
{
    dispatch_end end = dispatch_end::not_run;
    http_response answer; // only for `answered`
    problem why;          // only for `not_run` and `unknown`
};

// Counters since the last call of take_stats().
struct dispatcher_stats
{
    std::uint64_t answered = 0; // requests, including those that were shed
    std::uint64_t shed = 0;
    duration slot_time{}; // total time of the exchanges that ended
};

class server_dispatcher
{
public:
    using callback = std::function<void(dispatch_result)>;

    // Fails if the queue's options are out of range. `context`, `authority` and `load`
    // must outlive the dispatcher.
    static result<std::unique_ptr<server_dispatcher>>
    create(router_context& context,
           scheduler_authority& authority,
           partition_load& load,
           server_id server,
           std::size_t slots);

    ticket submit(live_request_ptr request, callback done);

    // Sets the number of requests that the server runs concurrently.
    void set_slots(std::size_t slots);

    // The caller has disconnected: removes the request without calling back, and closes
    // its exchange if there is one. An unrepeatable request that was sent is left to end.
    void withdraw(ticket id);

    // The connections to the server are unresponsive: sends the repeatable requests that
    // were sent at `sent_until` or earlier once more, on new connections, as far as the
    // retry budget allows.
    void resend(time_point sent_until);

    dispatcher_stats take_stats();

    std::size_t waiting() const
    {
        return queue_->waiting();
    }

    std::size_t in_flight() const
    {
        return queue_->in_flight();
    }

private:
    struct pending_request
    {
        live_request_ptr request;
        callback done;
        exchange_id exchange; // zero until it is sent
        endpoint address;
        time_point sent_at;
        bool is_resent = false;
    };

    // A request that the queue has started but that must not be sent.
    struct unsent_request
    {
        ticket id;
        refusal why;
    };

    server_dispatcher(router_context& context,
                      scheduler_authority& authority,
                      partition_load& load,
                      server_id server,
                      std::unique_ptr<queue_policy> queue);

    void carry_out(const queue_actions& actions);
    void start(ticket id);
    void send(ticket id,
              pending_request& it,
              const request_permit& permit,
              connection_choice choice);
    bool is_permitted(const live_request& request, epoch since) const;
    void refuse_unsent();
    void on_exchange_ended(ticket id, exchange_result got);
    void complete(ticket id, dispatch_result got);
    void free_slot(ticket id, answer_kind answer, duration service_time);
    void arm_timer();
    http_request make_request(const live_request& request, epoch since) const;

    router_context& context_;
    scheduler_authority& authority_;
    partition_load& load_;
    server_id server_;
    std::unique_ptr<queue_policy> queue_;
    std::unordered_map<ticket, pending_request> pending_;
    std::uint64_t last_ticket_ = 0;
    dispatcher_stats stats_;
    timer_handle timer_;
    std::vector<unsent_request> unsent_requests_;
    timer_handle unsent_timer_;
};

} // namespace camphorrock
