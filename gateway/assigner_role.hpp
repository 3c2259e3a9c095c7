#pragma once

// The role of the assigner, which assigns keys to servers. One gateway of the fleet holds
// it at a time, by a key with a lease in the store. This class runs the election and,
// while this gateway is elected, a key_assigner: it writes the assigner's record to the
// store and sends its orders to servers.
//
// An elected gateway reads the record, then writes it with a new term by
// compare-and-swap, so that the next write of any previous holder fails. After a write
// without an answer the record is read back before anything else depends on the write.
// The holder resigns when the holder key is no longer its own, or when another gateway
// has written the record. A gateway that knows of one with at least twice its processor
// time campaigns later; if it holds the role, it hands the role over.
// So does one that has lost its links to the servers, since its orders would not arrive;
// it campaigns again when they are back.
//
// When the store comes back from a copy, the holder's lease may be gone. The holder asks
// for the role again at once, before the others campaign, and goes on with what it knows
// if it had authority all the while; see key_assigner::begin_era().

#include "core/gateway/owners/key_assigner.hpp"
#include "gateway/gateway_log.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/limit_agent.hpp"
#include "gateway/link_agent.hpp"
#include "gateway/order_sender.hpp"
#include "gateway/store_check.hpp"
#include "gateway/store_reader.hpp"
#include "net/event_loop.hpp"
#include "store/store_client.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace camphorrock
{

// The store key of the record of the assignment, and the prefix of those of later eras.
constexpr const char* keys_record_key = "camphorrock/keys";

// Each era of the store has a record of its own, so that a write that was sent in an
// earlier one cannot replace it: revisions are given out again.
std::string record_key_of(store_era era);

// The store key that names the holder of the role, with the holder's lease.
constexpr const char* holder_key = "camphorrock/assigner";

// The store key of the bound that the assigner has stated of its grants. Not under the
// prefix of the records, since builds that do not know it read all of these.
constexpr const char* bound_key = "camphorrock/grant-bound";

// What the assigner's role uses of its gateway.
struct assigner_role_context
{
    event_loop& loop;
    store_client& store;
    gateway_state& state;
    order_sender& orders;
    gateway_log& log;
    limit_agent* limits = nullptr; // null: orders do not count against servers' limits
    link_agent* links = nullptr;   // null: links to servers are not watched
    std::function<void()> on_elected{}; // called when this gateway starts to assign
    store_check* others = nullptr;      // null: no other gateway is asked about the store
};

class assigner_role
{
public:
    // What `context` refers to must outlive the role. Calls `on_published` with each new
    // assignment while this gateway is the assigner, and `on_holder` whenever holder()
    // may have changed.
    assigner_role(assigner_role_context context,
                  std::function<void(const key_assignment&)> on_published,
                  std::function<void()> on_holder);
    ~assigner_role();
    assigner_role(const assigner_role&) = delete;
    assigner_role& operator=(const assigner_role&) = delete;

    // The peer address of the gateway that holds the role, to which reports are sent;
    // none while no gateway is known to hold it.
    const std::optional<endpoint>& holder() const
    {
        return holder_;
    }

    // True once this gateway has been elected and has read the record, until it resigns.
    bool is_assigner() const
    {
        return assigner_ != nullptr;
    }

    // When this gateway last became the assigner.
    time_point elected_at() const
    {
        return elected_at_;
    }

    // Counts a request for the key. No effect unless this gateway is the assigner.
    void add_load(const service_name& service, shard_key key);
    // Records that a server refused the key although it is assigned to that server. No
    // effect unless this gateway is the assigner.
    void add_refusal(const service_name& service, shard_key key);

    // What this gateway tells the next assigner about its own last term. Empty if there
    // was none, or it is so long ago that no grant of it can be in force.
    std::optional<assigner_term_end> last_term_end() const;
    // The statement of the last assigner. No effect unless this gateway is the assigner.
    void on_term_end(const assigner_term_end& got);

    // The gateway that asks has been elected: resigns if this gateway is an assigner that
    // has lost its authority. Returns last_term_end(), or nothing as long as it may still
    // send orders.
    std::optional<assigner_term_end> end_term(const endpoint& successor);
    // The gateway that held the role last, as far as known: the predecessor of this one
    // while it is the assigner.
    const std::optional<endpoint>& last_holder() const
    {
        return last_holder_;
    }

    // What this gateway tells the assigner if an earlier process of its own wrote the
    // record. Empty if it knows of no such record.
    std::optional<assigner_restart> restart() const;
    // The record was read.
    void note_writer(const key_assignment& record);
    // The statement of a restarted gateway. No effect unless this gateway is the
    // assigner.
    void on_restart(const assigner_restart& got);

    // Resigns if this gateway holds the role, and takes part in no further election.
    void shut_down();

private:
    void on_holder_read(const std::vector<store_entry>& entries);
    void on_holder_changed(const std::vector<store_entry>& changes);
    void set_holder(const store_entry& entry);
    void on_no_holder();

    void schedule_campaign();
    duration campaign_spread() const;
    duration campaign_delay() const;
    void check_hand_over();
    void hand_over(const char* reason);
    bool is_cut_off() const;
    void on_links_changed();
    void note_link(const key_order& order, const order_result& got);
    void campaign();
    void on_lease_granted(const store_lease_grant& got);
    void on_holder_write(const store_write& got);
    void read_back_holder();
    void abandon_campaign();

    void on_era_changed();
    void reclaim();
    void retry_reclaim();
    // False for the callbacks of an attempt that another era of the store has ended.
    bool is_current_reclaim(unsigned round) const
    {
        return is_reclaiming_ && round == reclaim_round_;
    }
    void on_reclaim_lease(const store_lease_grant& got);
    void on_reclaim_holder(const store_read& got);
    bool may_go_on(const key_assignment& record) const;
    key_assignment latest_known(const key_assignment& record) const;
    void on_elected();
    void on_bound_read(const store_read& got);
    void on_record(const store_read& got);
    void start_assigner(const key_assignment& record, store_revision at);

    void renew_lease();
    // `of` is the lease that was to be renewed, by a call that was sent at `sent`.
    void on_renewal(const store_lease_grant& got, const store_lease& of, time_point sent);
    void tick();
    void post_tick();
    assigner_view view() const;
    void report_waiting_keys();
    void note_leaving(const key_order& order, const order_result& got);
    void note_limit(const key_order& order, const order_result& got);
    void note_warm_up(const key_order& order, const order_result& got);
    std::optional<double> limit_of(const listed_server& server) const;
    double capacity_of(const service_name& service, const listed_server& server) const;
    void account_for_limit(const key_order& order);
    void check_store();
    void write_bound();
    void on_bound_write(const grant_bound& bound, const store_write& got);
    void note_proof();
    void write_record();
    void on_record_write(const store_write& got);
    void read_back_record();
    void delete_older_record();
    void publish_changes();
    void resign(const char* reason);

    assigner_role_context context_;
    std::function<void(const key_assignment&)> on_published_;
    std::function<void()> on_holder_;

    std::optional<endpoint> holder_;
    std::optional<endpoint> last_holder_; // another gateway
    time_point elected_at_{};
    bool is_elected_ = false; // this gateway wrote the holder key, as far as known
    bool is_shut_down_ = false;
    bool is_campaigning_ = false;
    // The store has come back from a copy; this gateway held the role and asks for it.
    bool is_reclaiming_ = false;
    unsigned reclaim_round_ = 0;     // counts the attempts
    bool has_revoked_lease_ = false; // another gateway may have been elected since
    std::optional<time_point> era_changed_at_;
    store_lease lease_;
    // When the call that granted or last renewed the lease was sent.
    time_point lease_call_sent_at_{};
    store_revision holder_revision_;

    // Owned here alone. The callback of an order checks by a weak pointer that the
    // order's assigner still exists: a later one gives the same ids to other orders.
    std::shared_ptr<key_assigner> assigner_;
    store_revision record_revision_;
    // The record of an earlier era, to be deleted once there is one of the present era.
    std::optional<store_entry> older_record_;
    // The record that is being written; null if no write is in flight. Owned here alone:
    // callbacks check by a weak pointer that they concern this write and no earlier one.
    std::shared_ptr<const key_assignment> record_in_flight_;
    // The last bound that an assigner has stated, as read on the election.
    std::optional<grant_bound> stated_bound_;
    store_revision bound_revision_;
    bool has_logged_proof_ = false; // that the predecessor kept its bound
    // The term of the record that an earlier process of this gateway wrote.
    std::optional<std::uint64_t> earlier_term_;
    bool has_been_assigner_ = false; // this process
    time_point created_at_{};
    std::uint64_t published_changes_ = 0; // key_assigner::changes() when last published
    time_point last_published_at_{};
    // Of this gateway's last term, and when that ended.
    std::optional<assigner_term_end> last_term_end_;
    time_point last_term_ended_at_{};
    bool is_renewal_in_flight_ = false;
    bool is_tick_posted_ = false;
    time_point last_store_check_at_{};

    timer_handle campaign_timer_;
    timer_handle renew_timer_;
    timer_handle renewal_retry_timer_;
    timer_handle tick_timer_;
    timer_handle waiting_timer_;
    timer_handle retry_timer_;
    timer_handle hand_over_timer_;
    // Expires with this object; other pending callbacks check it.
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
    std::unique_ptr<store_reader> holder_reader_;
};

} // namespace camphorrock
