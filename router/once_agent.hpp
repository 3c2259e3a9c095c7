#pragma once

// Runs each unrepeatable request of a shard at most once: the request is recorded in the
// shard's journal in the store before it is sent. Carries out the actions of once_gate;
// see docs/DESIGN.md, "At most once".

#include "core/config/configuration.hpp"
#include "core/once/once_gate.hpp"
#include "core/ownership/shard_record.hpp"
#include "router/journal_lease.hpp"
#include "router/journal_reader.hpp"
#include "router/live_request.hpp"
#include "router/router_context.hpp"
#include "router/server_dispatcher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace camphorrock
{

class once_agent
{
public:
    // Sends a request to its server and calls the callback once.
    using run_function =
        std::function<void(const live_request_ptr&, server_dispatcher::callback)>;

    once_agent(router_context& context,
               journal_lease& lease,
               shard_id shard,
               run_function run);

    // The first call creates the gate, later calls change its settings.
    void configure(const service_config& service, const fleet_config& fleet);

    // Takes over, releases and drops hash ranges according to a new record.
    void record_changed(const shard_record& record);

    // The router has authority for the shard until `until`.
    void set_authority(time_point until);

    // Ends the request, during the call or later. `since` is the epoch of its partition,
    // which this router schedules.
    void submit(const live_request_ptr& request, epoch since);

    // Releases all ranges; the next record_changed() takes them over again.
    void release_all();

    // True if no request is held.
    bool is_idle() const
    {
        return held_.empty();
    }

    // Number of ids whose outcome is held in memory.
    std::size_t remembered_ids() const
    {
        return gate_ ? gate_->remembered_ids() : 0;
    }

private:
    struct held_request
    {
        live_request_ptr request;
        std::optional<problem> run_problem; // set if its own run ended without an answer
    };

    struct claim
    {
        epoch since;
        bool is_moving = false;
    };

    using claim_map = std::map<hash_range, claim>;

    claim_map claims_of(const shard_record& record) const;
    void drop_lost_ranges(const shard_record& record, const hash_range& range);
    void carry_out_actions();
    void arm_timer();
    void carry_out(const append_action& action);
    void carry_out(const read_batch_action& action);
    void carry_out(const load_action& action);
    void carry_out(const fence_action& action);
    void carry_out(const run_action& action);
    void carry_out(const answer_action& action);
    void carry_out(const released_action& action);
    void create_batch(const instance_id& router,
                      std::uint64_t number,
                      const journal_batch& batch,
                      std::function<void(store_end)> done);
    void run_ended(run_id run, waiter_id waiter, const dispatch_result& got);

    router_context& context_;
    journal_lease& lease_;
    shard_id shard_;
    journal_reader reader_;
    run_function run_;
    std::optional<once_gate> gate_;
    claim_map claims_;
    std::unordered_map<std::uint64_t, held_request> held_; // by waiter_id
    std::uint64_t last_waiter_ = 0;
    bool is_carrying_out_ = false;
    timer_handle timer_;
};

} // namespace camphorrock
