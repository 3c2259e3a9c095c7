#pragma once

// The gate for requests that may not be repeated: each is recorded in the shard's journal
// in the store before it is sent, and runs at most once. Carries out what once_gate asks
// for; see docs/DESIGN.md, "At most once".

#include "core/config/configuration.hpp"
#include "core/once/once_gate.hpp"
#include "core/ownership/shard_record.hpp"
#include "router/journal_lease.hpp"
#include "router/journal_reader.hpp"
#include "router/live_request.hpp"
#include "router/router_parts.hpp"
#include "router/server_lane.hpp"

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
    // Sends a request to its server and calls back once.
    using runner = std::function<void(const live_request_ptr&, server_lane::callback)>;

    once_agent(router_parts& parts, journal_lease& lease, shard_id shard, runner run);

    // The first call opens the gate, a later one changes its settings.
    void configure(const service_config& service, const fleet_config& fleet);

    // Takes over, releases and loses ranges as a new record says.
    void record_changed(const shard_record& record);

    // The shard's authority reaches to `until`.
    void set_authority(time_point until);

    // A request for a partition at this epoch that this router schedules. Ends it, now or
    // later.
    void submit(const live_request_ptr& request, epoch since);

    // Gives all ranges up; the next record_changed() takes them over again.
    void release_all();

    // No request is held.
    bool is_idle() const
    {
        return held_.empty();
    }

    // Ids whose outcome is remembered here.
    std::size_t remembered_ids() const
    {
        return gate_ ? gate_->remembered_ids() : 0;
    }

private:
    struct held_request
    {
        live_request_ptr request;
        std::optional<problem> why; // of its own run, where it was refused
    };

    struct claim
    {
        epoch since;
        bool is_moving = false;
    };

    using claim_map = std::map<hash_range, claim>;

    claim_map claims_of(const shard_record& record) const;
    void lose_parts(const shard_record& record, const hash_range& range);
    void pump();
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
    void run_ended(run_id run, waiter_id waiter, const lane_end& end);

    router_parts& parts_;
    journal_lease& lease_;
    shard_id shard_;
    journal_reader reader_;
    runner run_;
    std::optional<once_gate> gate_;
    claim_map claims_;
    std::unordered_map<std::uint64_t, held_request> held_; // by waiter_id
    std::uint64_t last_waiter_ = 0;
    bool is_pumping_ = false;
    timer_handle timer_;
};

} // namespace camphorrock
