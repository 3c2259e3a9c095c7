#pragma once

// The assigner of a fleet of gateways: decides which server owns which keys, and orders
// the servers to take keys and to give them up. One gateway at a time acts as assigner,
// elected by a lease in the store.
//
//     key_assigner assigner(options, record, "router-1", now);
//     assigner.confirmed(sent, now);                   // the lease was renewed
//     for (const key_order& it : assigner.tick(view, now)) send(it);
//     assigner.order_ended(id, result, now);
//     if (std::optional<key_assignment> next = assigner.next_record(now)) write(*next);
//     assigner.record_written(now);
//
// Safety. An owner is followed by another one only
//   - after it acknowledged a release, whose epoch is above that of all its grants, and
//     every grant that it did not answer has run out, or
//   - after every grant that may have reached it has run out: counted from the end of the
//     order that carried it, by a clock that may run `drift` slow, or
//   - when the server says that it has started anew, or another one has its address,
//   since
//     then it holds nothing.
// The new owner is in the store's record, written by compare-and-swap, before it gets a
// grant. Epochs come from a range that the record reserves, so no two assigners use the
// same one. Orders are sent only until `authority_ttl` after the last renewal of the
// lease was sent. A new assigner counts every owner in the record as granted by its
// predecessor until the predecessor's last order must have run out. Renewing the same
// grant to the same owner is always safe.
//
// Memory: one row a share, at most `max_shares` a service; the samples of key_load.

#include "core/gateway/key_assignment.hpp"
#include "core/gateway/key_load.hpp"
#include "core/gateway/key_orders.hpp"
#include "core/gateway/server_directory.hpp"

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
    duration hold = milliseconds(2500);          // of a grant
    duration long_hold = milliseconds(9800);     // of a grant when the store is away
    duration store_late = milliseconds(800);     // without a renewal: the store is away
    duration renew_every = milliseconds(500);    // less than authority_ttl - store_late
    duration order_timeout = milliseconds(300);
    duration release_timeout = milliseconds(1500); // the work on the keys ends first
    double drift = 0.02;                           // a server's clock may be slower by it
    duration margin = milliseconds(30); // between the end of a grant and the next owner
    duration plan_every = milliseconds(300);
    std::uint64_t epoch_block = 1000; // epochs that a record reserves
    std::size_t max_shares = 512;     // of a service; no more are cut
    unsigned shares_per_server = 5;   // balance cuts no more
    duration join_every = seconds(1); // neighbouring shares of one owner become one
    duration first_wait = seconds(1); // for more servers, before the first assignment
    unsigned max_moves = 8;           // for balance, of a service, at once
    duration balance_every = milliseconds(300);
    double imbalance = 1.3;    // load over the mean, from which a server gives keys
    double min_busy = 0.5;     // share of its capacity, from which a server gives keys
    double significance = 2.0; // standard deviations of a count by which it is above
};

// What the assigner looks at in each tick. Neither pointer nor function is kept.
struct assigner_view
{
    const server_directory* servers = nullptr;
    std::vector<service_name> keyed_services;
    // The requests that a server can work off in a second.
    std::function<double(const service_name&, const listed_server&)> capacity;
};

class key_assigner
{
public:
    // `record` is what the store holds, or an empty one.
    key_assigner(key_assigner_options options,
                 const key_assignment& record,
                 instance_id self,
                 time_point now);

    // The lease was renewed by a call that was sent at `sent`.
    void confirmed(time_point sent);

    bool has_authority(time_point now) const;

    // A request for a key reached some gateway.
    void add_load(const service_name& service, shard_key key, time_point now);

    // A server refused a key that it should own: its grant is sent again at once.
    void not_owned(const service_name& service, shard_key key, time_point now);

    // Plans and returns the orders that are due. Empty without authority.
    std::vector<key_order> tick(const assigner_view& view, time_point now);

    void order_ended(order_id id, const order_result& got, time_point now);

    // The record to write now, if there is a change; none while one is being written.
    std::optional<key_assignment> next_record(time_point now);
    void record_written(time_point now);
    // The write had no effect; it is made anew.
    void record_not_written();

    // What the gateways go by: the record and the keys that are moving.
    key_assignment published() const;

    // Changes with each change of published().
    std::uint64_t changes() const
    {
        return version_.change;
    }

private:
    struct held_share
    {
        key_share share;
        time_point held_until{}; // a grant to the owner may be in force until then
        time_point renew_at{};
        time_point last_accepted{};
        bool is_silent = false;          // its last order was not answered
        bool is_stale = false;           // the owner wants a higher epoch
        bool is_released = false;        // the owner acknowledged
        std::optional<order_id> order;   // under way
        time_point unsure_until{};       // a grant without an answer may be in force
        time_point held_before{};        // without that order
        std::string handover;            // for the first grant
        std::optional<server_id> target; // of a move
        server_life target_life;
        std::optional<epoch> release_at;
        time_point moved_at{};
    };

    struct keyed_service
    {
        service_name name;
        std::vector<held_share> shares;
        key_load load;
        time_point plan_at{};
        time_point balance_at{};
        time_point join_at{};
        std::optional<time_point> first_server; // when one was first there
    };

    struct server_load
    {
        const known_server* server = nullptr;
        double capacity = 1;
        double load = 0;
        unsigned shares = 0;
        bool is_silent = false;    // some order was not answered
        bool is_answering = false; // some order was, lately

        double ratio() const
        {
            return load / capacity;
        }
    };

    struct sent_order
    {
        service_name service;
        key_order order;
    };

    keyed_service& service_row(const service_name& name);
    held_share* find_order(const sent_order& sent);
    bool is_ready(const held_share& it, time_point now) const;
    bool is_settled(const held_share& it) const;
    bool may_join(const held_share& first, const held_share& second) const;
    bool is_record_due(time_point now) const;
    bool is_join_due(const keyed_service& row, time_point now) const;
    service_shares next_shares(const keyed_service& row, time_point now);
    void adopt(keyed_service& row, const service_shares& written, time_point now);
    void adopt(held_share& it, const key_share& written, time_point now);
    static void join(held_share& whole, const held_share& part);

    double load_of(const keyed_service& row, const held_share& share) const;
    std::vector<server_load>
    loads_of(const keyed_service& row, const assigner_view& view, time_point now) const;
    void plan(keyed_service& row, const assigner_view& view, time_point now);
    void plan_initial(keyed_service& row, std::vector<server_load>& loads);
    bool is_orphan(const held_share& it, const assigner_view& view, time_point now) const;
    void cut_orphans(keyed_service& row,
                     const assigner_view& view,
                     const std::vector<server_load>& loads,
                     time_point now);
    void plan_owner(keyed_service& row,
                    held_share& it,
                    const assigner_view& view,
                    std::vector<server_load>& loads,
                    time_point now);
    static server_load* successor_of(const held_share& it,
                                     std::vector<server_load>& loads);
    void check_target(keyed_service& row,
                      held_share& it,
                      const assigner_view& view,
                      time_point now);
    void move(held_share& it, const known_server& target, time_point now);
    held_share* cut(keyed_service& row, std::size_t index, shard_key_range keys);
    void balance(keyed_service& row, std::vector<server_load>& loads, time_point now);
    bool balance_once(keyed_service& row,
                      std::vector<server_load>& loads,
                      double mean,
                      time_point now);
    bool may_cut(const keyed_service& row, const std::vector<server_load>& loads) const;
    bool is_movable(const held_share& it, const server_id& owner, time_point now) const;
    bool give(keyed_service& row,
              held_share& it,
              server_load& from,
              server_load& to,
              time_point now);
    held_share*
    hottest_key(keyed_service& row, const server_load& of, double mean, time_point now);
    bool relieve(keyed_service& row,
                 held_share& hot,
                 std::vector<server_load>& loads,
                 server_load& most,
                 server_load& least,
                 time_point now);
    held_share*
    cut_piece(keyed_service& row, const server_id& server, double wanted, time_point now);

    void order_share(keyed_service& row,
                     held_share& it,
                     const assigner_view& view,
                     time_point now,
                     std::vector<key_order>& orders);
    key_order make_order(const keyed_service& row,
                         held_share& it,
                         const known_server& owner,
                         order_kind kind,
                         time_point now);
    duration hold_now(time_point now) const;
    duration with_drift(duration hold) const;
    epoch take_epoch();
    void changed()
    {
        ++version_.change;
    }

    key_assigner_options options_;
    instance_id self_;
    assignment_version version_;
    epoch next_epoch_;
    epoch epoch_limit_;
    std::vector<keyed_service> services_;
    std::map<order_id, sent_order> orders_;
    order_id last_order_;
    std::optional<time_point> confirmed_; // when the last renewal was sent
    time_point predecessor_until_{};
    bool is_first_record_ = true;
    std::optional<key_assignment> writing_;
};

} // namespace camphorrock
