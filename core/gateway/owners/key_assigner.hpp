#pragma once

// The key assigner of a fleet of gateways: decides which server owns which keys, and
// sends the servers orders that grant them keys or make them release keys. One gateway at
// a time acts as the assigner; it is elected by a lease in the store.
//
//     key_assigner assigner(options, record, "router-1", now);
//     assigner.lease_renewed(sent);                    // the lease was renewed
//     for (const key_order& it : assigner.tick(view, now)) send(it);
//     assigner.order_ended(id, result, now);
//     if (std::optional<key_assignment> next = assigner.next_record(now)) write(*next);
//     assigner.record_written(now);
//     assigner.predecessor_ended(it, now);             // if the predecessor says so
//     if (std::optional<grant_bound> next = assigner.next_bound(now)) write(*next);
//
// Safety. A key range gets a new owner only after one of the following:
//   - The old owner acknowledged a release whose epoch is above those of all its grants,
//     and every grant that it did not answer has expired: those of this assigner, and
//     those of its predecessors. A server may carry out a grant without an answer after
//     newer orders.
//   - Every grant that may have reached the old owner has expired. The expiry is counted
//     from the end of the order that carried the grant, for a clock that may run slow by
//     `drift`.
//   - The old owner reports a new incarnation, or another server has its address: it then
//     holds no keys.
// The new owner is written to the store's record by compare-and-swap before it gets a
// grant. Epochs come from a range that the record reserves, so no two assigners use the
// same epoch. Orders are sent only until `authority_ttl` after the last successful
// renewal of the lease was sent. A new assigner assumes that every owner in the record
// holds a grant from the predecessor, and has another one that it did not answer, until
// the predecessor's last possible grant has expired. Renewing the same grant to the same
// owner is always safe.
//
// What a predecessor has granted is known to itself alone, as it may have lost the store
// before. While a grant without an answer may be in force, its owner keeps the range: it
// serves the keys, and a release would not free them. A predecessor that has resigned
// tells when its grants expire, and those without an answer (term_end), which ends these
// waits early. One that was killed does not; but if it has stated a grant_bound, its
// owners prove that it gave no long grants (see grant_notice.hpp), and these waits are
// short. Before this assigner exceeds its own bound it gives a notice, or writes a record
// of a new term, which has no bound yet.
//
// If the store comes back from a copy (see store_era), its record may be older than
// grants that are in force. The first record of the new era is written only when no such
// grant can contradict it, and nothing moves before. An assigner that starts from the
// copy waits until every grant of the earlier era has expired. One that had authority all
// the while goes on (begin_era): it renews its grants, and knows a range's owner for
// certain once that accepts a renewal after all other assigners of the earlier era have
// lost their authority; had one of them moved the range, the owner would refuse. The
// epochs of an era are above all those of earlier ones.
//
// The ranges of owners in a drained data centre move away as those of owners that leave,
// but paced: some of them in each pass, those with the most requests first, and no new
// owner gets more than one of them in one pass. Each moves under the same conditions as
// any other range. When the drain ends, the moves whose release has not been sent are
// dropped. In names, such a drain is an evacuation (evacuations.hpp).
//
// Memory: one row a key range, at most `max_ranges` a service; the samples of key_load.

#include "core/gateway/owners/assigner_term_end.hpp"
#include "core/gateway/owners/grant_notice.hpp"
#include "core/gateway/owners/key_assignment.hpp"
#include "core/gateway/owners/key_load.hpp"
#include "core/gateway/owners/key_orders.hpp"
#include "core/gateway/owners/key_wait.hpp"
#include "core/gateway/servers/server_directory.hpp"
#include "core/gateway/store/store_era.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorrock
{

struct key_assigner_options
{
    duration authority_ttl = milliseconds(1500); // of the assigner's lease
    duration hold_time = milliseconds(2500);     // of a grant
    // Of a grant while the store is unavailable.
    duration long_hold_time = milliseconds(9800);
    // Time without a lease renewal after which the store counts as unavailable.
    duration store_unavailable_after = milliseconds(800);
    unsigned failures_to_unavailable = 2; // renewals that failed in a row
    // Time without a lease renewal after which no range is moved: a move needs a write to
    // the store between the release by the old owner and the grant to the new one.
    duration max_plan_age = milliseconds(600);
    // Less than authority_ttl - store_unavailable_after, so that each owner gets a long
    // grant before the assigner loses its authority.
    duration grant_renew_period = milliseconds(500);
    duration order_timeout = milliseconds(300);
    // Longer, because the owner finishes its work on the keys before it answers.
    duration release_timeout = milliseconds(1500);
    double drift = 0.02; // fraction by which a server's clock may run slow
    // Added between the end of a grant and the next owner.
    duration expiry_margin = milliseconds(30);
    duration plan_period = milliseconds(300);
    std::uint64_t epoch_block = 1000; // epochs that a record reserves
    std::size_t max_ranges = 512;     // of a service; beyond it, no range is split
    unsigned ranges_per_server = 5;   // balancing splits no range beyond it
    // Adjacent ranges of one owner are merged at most once in this time.
    duration merge_period = seconds(1);
    // From the last sign of trouble with the store to a record with the epochs of a
    // notice, after which a successor can again tell whether there was one.
    duration notice_record_delay = seconds(1);
    // For the first answers of other gateways that are asked whether the store answers.
    duration store_check_time = milliseconds(150);
    duration other_answer_validity = milliseconds(500);
    // For which no bound is stated after a server's limit asked for longer grants.
    duration bound_pause = seconds(30);
    duration bound_retry_period = seconds(1);
    // From the first listed server to the first assignment, so that more can be listed.
    duration initial_wait = seconds(1);
    unsigned max_moves = 8; // for balance, in one pass over a service
    // The last moves away from a drained data centre start this long before the stop
    // time: for the move, and since other gateways may have an earlier stop time.
    duration evacuation_reserve = milliseconds(1500);
    duration balance_period = milliseconds(300);
    double imbalance = 1.3;       // load over the mean, above which a server is relieved
    double min_utilization = 0.5; // of its capacity, above which a server is relieved
    // Orders take at most this fraction of the limit that a server names, as long as
    // grants of long_hold_time allow it.
    double limited_order_fraction = 0.25;
    // Time from the end of a slowed renewal period to the end of its grant.
    duration limited_hold_margin = seconds(2);
    // Standard deviations of a request count by which a load must exceed the mean.
    double significance = 2.0;
};

// What the assigner reads in each tick. Neither the pointer nor the function is kept.
struct assigner_view
{
    const server_directory* servers = nullptr;
    std::vector<service_name> keyed_services;
    // The number of requests that a server can complete in a second.
    std::function<double(const service_name&, const listed_server&)> capacity;
    // The number of requests and orders that a server takes in a second, if it has named
    // a limit. May be empty: no server has.
    std::function<std::optional<double>(const listed_server&)> limit = {};
};

class key_assigner
{
public:
    // `record` is the content of the store, or an empty record; `era` is that of the
    // store when it was read, and `bound` the last statement of a bound there.
    key_assigner(key_assigner_options options,
                 const key_assignment& record,
                 instance_id self,
                 time_point now,
                 store_era era = {},
                 const std::optional<grant_bound>& bound = {});

    // The store has come back from a copy, and this assigner was elected again while it
    // had authority, before any record was written in that era.
    void begin_era(store_era era, time_point now);

    // The lease was renewed by a call that was sent at `sent`.
    void lease_renewed(time_point sent);

    // A renewal failed. After `failures_to_unavailable` of them without a success, the
    // store counts as unavailable, and each owner gets a long grant at once.
    void lease_renewal_failed(time_point now);

    bool has_authority(time_point now) const;

    // True while renewals of the lease are late or fail: the caller asks other gateways
    // whether the store answers them, and says so by the functions below. As long as it
    // does, only this gateway is cut off: it gives no long grants, since another one will
    // be elected.
    bool needs_store_check(time_point now) const;
    void store_check_begun(time_point now);
    // The store answered another gateway, at `at` or later.
    void store_answered_other(time_point at);

    // What this assigner tells its successor if it sends no further orders. Empty if it
    // has written no record in this era of the store: it then has sent no orders that
    // follow it.
    std::optional<assigner_term_end> term_end(time_point now) const;

    // The statement of a gateway that has resigned, whenever it arrives. Returns false,
    // and has no effect, unless it is that of the writer of the record with which this
    // assigner started, about that record's term.
    bool predecessor_ended(const assigner_term_end& got, time_point now);

    // The statement of a gateway that has started again. Returns false, and has no
    // effect, unless its earlier process wrote the record with which this assigner
    // started, in that term, and has stated a bound.
    bool predecessor_restarted(const assigner_restart& got, time_point now);

    // True once it is proved that the predecessor has kept its bound.
    bool has_proved_bound() const
    {
        return predecessor_bound_ && !predecessor_check_;
    }

    // The bound to write. Empty if it is stated, or does not hold yet.
    std::optional<grant_bound> next_bound(time_point now);
    void bound_written(const grant_bound& bound);

    // Counts a request for a key that reached any gateway.
    void add_load(const service_name& service, shard_key key, time_point now);

    // A server refused a key that it should own: the next tick repeats its grant. If it
    // rejects grants, too, its range is published as moving.
    void not_owned(const service_name& service, shard_key key, time_point now);

    // Plans, and returns the orders that are due. Returns none without authority.
    std::vector<key_order> tick(const assigner_view& view, time_point now);

    void order_ended(order_id id, const order_result& got, time_point now);

    // The record to write. Empty if nothing has changed, if a record is being written, or
    // without authority.
    std::optional<key_assignment> next_record(time_point now);
    void record_written(time_point now);
    // The write had no effect; next_record() returns a new record.
    void record_not_written();

    // The assignment that gateways route by: the record, and which keys are moving.
    key_assignment published() const;

    // The keys that no server can serve, or whose owner leaves, by what they wait for. A
    // row for each service and reason. O(key ranges).
    std::vector<waiting_keys> waiting(const assigner_view& view, time_point now) const;

    // A number that grows with each change of published().
    std::uint64_t changes() const
    {
        return version_.change;
    }

private:
    // A key range, with the grants and the order that concern it.
    struct range_state
    {
        assigned_key_range range;
        time_point latest_grant_end{}; // a grant to the owner may be in force until then
        time_point next_order_at{};
        duration renewal_delay{}; // beyond grant_renew_period, for the owner's limit
        time_point last_accepted_at{};
        bool is_unresponsive = false; // the last order failed or was not answered
        bool is_rejecting = false;    // the owner rejected the last order
        bool is_refused =
            false; // a request for a key of it, since the last accepted order
        // Of the last notice that covers the range; its grants have this epoch if it is
        // above that of the record.
        epoch notice_epoch;
        bool needs_higher_epoch = false; // the owner refused the grant's epoch as stale
        bool is_release_sent = false;    // since the move started
        bool is_released = false;        // the owner acknowledged the release
        std::optional<order_id> order;   // in flight
        // A grant without an answer may be in force until then.
        time_point unanswered_grant_end{};
        // The same for the grants of earlier assigners.
        time_point predecessor_unanswered_end{};
        // Since a grant got no answer, until the owner answers one: its grants are not
        // extended beyond this time while the range can move.
        std::optional<time_point> silent_grant_end;
        time_point predecessor_grant_end{}; // as latest_grant_end, for earlier assigners
        time_point previous_grant_end{};    // latest_grant_end before the order in flight
        std::string handover;               // the last owner's state, for the first grant
        std::optional<server_id> target;    // the new owner, while the range is moving
        server_incarnation target_incarnation;
        std::optional<epoch> release_epoch;
        bool is_evacuating = false; // it moves because its owner's data centre is drained
        time_point moved_at{};
        // False after the store came back from a copy, until the owner is certain.
        bool is_owner_certain = true;

        // No grant is in force from then on.
        time_point grants_end() const
        {
            return std::max(latest_grant_end, predecessor_grant_end);
        }

        epoch order_epoch() const
        {
            return std::max(range.grant_epoch, notice_epoch);
        }

        // No grant without an answer is in force from then on.
        time_point unanswered_grants_end() const
        {
            return std::max(own_unanswered_grants_end(), predecessor_unanswered_end);
        }

        // The same for the grants of this assigner.
        time_point own_unanswered_grants_end() const
        {
            return order ? latest_grant_end : unanswered_grant_end;
        }

        // Nobody serves the range: what has the owner's address neither carries out
        // orders nor takes requests for the keys.
        bool is_disowned() const
        {
            return is_rejecting && is_refused;
        }
    };

    struct keyed_service
    {
        service_name name;
        std::vector<range_state> key_ranges;
        key_load load;
        time_point next_plan_at{};
        time_point next_balance_at{};
        time_point next_merge_at{};
        std::optional<time_point> first_server_at; // when a server was first listed
        bool has_responsive_server = false;        // at the last plan
    };

    struct server_load
    {
        const known_server* server = nullptr;
        double capacity = 1; // requests a second
        // It has named a limit that does not allow the usual orders for its ranges.
        bool is_limited = false;
        double load = 0; // requests within the samples
        unsigned range_count = 0;
        bool is_unresponsive = false;   // the last order for one of its ranges failed
        bool accepted_recently = false; // it accepted an order within unresponsive_after

        double ratio() const
        {
            return load / capacity;
        }
    };

    struct sent_order
    {
        service_name service;
        key_order order;
        time_point sent_at{};
    };

    // Adds the service if it is new.
    keyed_service& service_row(const service_name& name);
    void note_disowned(const range_state& it, bool was_disowned);
    range_state* range_of_order(const sent_order& sent);
    bool may_move(time_point now) const;
    void cancel_unsent_moves(keyed_service& row);
    bool may_reassign(const range_state& it, time_point now) const;
    bool is_settled(const range_state& it) const;
    bool can_merge(const range_state& first, const range_state& second) const;
    bool is_record_due(time_point now) const;
    bool is_merge_due(const keyed_service& row, time_point now) const;
    service_key_ranges next_key_ranges(const keyed_service& row, time_point now);
    void adopt(keyed_service& row, const service_key_ranges& written, time_point now);
    void adopt(range_state& it, const assigned_key_range& written, time_point now);
    static void merge(range_state& whole, const range_state& part);

    double load_of(const keyed_service& row, const range_state& it) const;
    std::vector<server_load> server_loads(const keyed_service& row,
                                          const assigner_view& view,
                                          time_point now) const;
    static std::optional<double> limit_of(const listed_server& server,
                                          const assigner_view& view);
    double affordable_ranges(double limit) const;
    void plan(keyed_service& row, const assigner_view& view, time_point now);
    void plan_initial(keyed_service& row, std::vector<server_load>& loads);
    bool is_freed_by_release(const range_state& it, time_point now) const;
    bool
    is_orphan(const range_state& it, const assigner_view& view, time_point now) const;
    void split_orphans(keyed_service& row,
                       const assigner_view& view,
                       const std::vector<server_load>& loads,
                       time_point now);
    void plan_owner(keyed_service& row,
                    range_state& it,
                    const assigner_view& view,
                    std::vector<server_load>& loads,
                    time_point now);
    static server_load* successor_of(const range_state& it,
                                     std::vector<server_load>& loads);
    void check_target(keyed_service& row,
                      range_state& it,
                      const assigner_view& view,
                      std::vector<server_load>& loads,
                      time_point now);
    bool
    is_evacuable(const range_state& it, const assigner_view& view, time_point now) const;
    void plan_evacuation(keyed_service& row,
                         const assigner_view& view,
                         std::vector<server_load>& loads,
                         time_point now);
    std::size_t
    evacuation_batch(std::size_t ranges, time_point stop_at, time_point now) const;
    void
    drop_cancelled_moves(keyed_service& row, const assigner_view& view, time_point now);
    bool refill(keyed_service& row,
                std::vector<server_load>& loads,
                server_load& to,
                double wanted,
                time_point now);
    void start_move(range_state& it, const known_server& target, time_point now);
    range_state* split(keyed_service& row, std::size_t index, shard_key_range keys);
    void balance(keyed_service& row, std::vector<server_load>& loads, time_point now);
    bool balance_once(keyed_service& row,
                      std::vector<server_load>& loads,
                      double mean,
                      time_point now);
    void
    relieve_limited(keyed_service& row, std::vector<server_load>& loads, time_point now);
    range_state*
    range_to_move_off(keyed_service& row, const server_load& from, time_point now);
    bool may_split(const keyed_service& row, const std::vector<server_load>& loads) const;
    bool is_movable(const range_state& it, const server_id& owner, time_point now) const;
    bool move_between(keyed_service& row,
                      range_state& it,
                      server_load& from,
                      server_load& to,
                      time_point now);
    range_state* isolate_hottest_key(keyed_service& row,
                                     const server_load& of,
                                     double mean,
                                     time_point now);
    bool offload_hot_server(keyed_service& row,
                            range_state& hot,
                            std::vector<server_load>& loads,
                            server_load& most,
                            server_load& least,
                            time_point now);
    range_state* split_off_load(keyed_service& row,
                                const server_id& server,
                                double wanted,
                                time_point now);

    void add_due_order(keyed_service& row,
                       range_state& it,
                       const assigner_view& view,
                       time_point now,
                       std::vector<key_order>& orders);
    key_order make_order(const keyed_service& row,
                         range_state& it,
                         const known_server& owner,
                         order_kind kind,
                         const assigner_view& view,
                         time_point now);
    duration renew_period(const keyed_service& row,
                          const known_server& owner,
                          const assigner_view& view) const;
    bool is_store_available(time_point now) const;
    bool is_cut_off_alone(time_point now) const;
    bool is_store_check_open(time_point now) const;
    bool is_store_down(time_point now) const;
    duration current_hold_time(time_point now) const;
    std::optional<duration> silent_hold_time(const keyed_service& row,
                                             const range_state& it,
                                             time_point now) const;
    duration hold_time_for(duration period) const;
    void hasten_slow_renewals(time_point now);
    duration worst_case_hold_time(duration hold_time) const;
    epoch allocate_epoch();
    bool has_spare_epochs() const;
    std::optional<key_wait>
    wait_of(const range_state& it, const assigner_view& view, time_point now) const;
    static time_point end_of(key_wait reason, const range_state& it);
    void note_trouble(time_point now);
    void update_notice(time_point now);
    void begin_notice(time_point now);
    bool is_notice_complete() const;
    bool may_give_long_grants() const;
    bool is_bound_exceeded() const;
    duration short_grant_time() const;
    bool are_own_grants_short(time_point now) const;
    duration earlier_grants_left(time_point now) const;
    bool is_bound_stated(duration earlier_left) const;
    void hasten_grants(time_point now);
    void note_renewal(const range_state& it, const sent_order& sent);
    void check_predecessor_notice(const assigner_view& view, time_point now);
    bool is_predecessor(const instance_id& writer, std::uint64_t term) const;
    void limit_predecessor_grants(duration hold_time);
    // No grant of an earlier assigner is in force after `grant_end`, and none without an
    // answer after `unanswered_end`.
    void limit_predecessor_ends(time_point grant_end, time_point unanswered_end);
    void begin_uncertainty(time_point now);
    static void settle_uncertain(keyed_service& row);
    void confirm_owner(range_state& it, const sent_order& sent);
    bool is_first_record_allowed(time_point now) const;
    bool may_renew_before_record(const range_state& it) const;
    void count_change()
    {
        ++version_.change;
    }

    key_assigner_options options_;
    instance_id self_;
    assignment_version version_;
    epoch next_epoch_;
    epoch epoch_limit_;
    std::vector<keyed_service> services_;
    bool was_store_available_ = true; // at the last tick
    grant_notice notice_;
    bool is_notice_complete_ = false; // at the last tick
    bool gave_long_grants_ = false;   // at the last tick
    // Since when the store has not been likely to accept a record; empty if it is.
    std::optional<time_point> trouble_since_;
    time_point last_trouble_at_{};
    std::optional<time_point> store_check_begun_at_; // since trouble_since_
    time_point other_answered_at_{}; // when the store last answered another gateway
    // arrived yet.
    std::optional<std::uint64_t> bound_term_;
    bool is_bound_written_ = false;
    duration stated_earlier_left_{};
    time_point next_bound_at_{};
    bool has_exceeded_bound_ = false;  // a grant was longer, after a notice
    bool needs_longer_grants_ = false; // a server's limit asks for them
    time_point last_longer_grant_at_{};
    std::map<order_id, sent_order> orders_;
    order_id last_order_id_;
    std::optional<time_point> last_renewal_sent_at_;
    unsigned failed_renewals_ = 0; // since the last one that succeeded
    time_point predecessor_grants_end_{};
    // The predecessor sends no more orders from then on.
    time_point predecessor_orders_end_{};
    // Empty if the predecessor has stated no bound.
    std::optional<grant_bound> predecessor_bound_;
    time_point bound_stated_by_{}; // the predecessor stated it at this time or before
    // Empty without a bound, and once the check has ended.
    std::optional<notice_check> predecessor_check_;
    time_point next_check_at_{};
    // Who wrote the record with which this assigner started, and in which term. Empty if
    // a later record may have been lost.
    std::optional<assigner_term_end> predecessor_;
    bool goes_on_ = false; // begin_era() was called, and no record was written since
    // When every grant of an earlier era of the store has expired.
    time_point earlier_grants_end_{};
    // A renewal that is accepted makes its owner certain if it was sent after this time.
    time_point confirms_from_{};
    bool is_first_record_pending_ = true;
    std::optional<key_assignment> pending_record_;
};

} // namespace camphorrock
