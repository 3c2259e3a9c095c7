#pragma once

// A simulation of key assigners in their environment: servers that carry out grants and
// releases, a store with a record and a lease, which at times comes back from a copy that
// is some seconds old, and a network that delays, reorders and
// loses messages. A grant that is not answered is carried out later, also after newer
// orders with higher epochs. A server's entry is written with each heartbeat, so it may
// be that of an earlier incarnation. After each step it checks that no two servers hold
// the same key, and that a key's epoch rises with each change of its owner. Slow.

#include "core/gateway/owners/key_assigner.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace camphorrock::testing
{

struct owner_simulation_options
{
    unsigned servers = 4;
    unsigned assigners = 3;
    double drift = 0.02;             // fraction by which the servers' clocks run slow
    double late_fraction = 0.1;      // of orders, carried out late and not answered
    double restore_fraction = 0;     // of steps in which the store comes back from a copy
    double rejected_fraction = 0.01; // of grants, rejected without effect
    double fault_fraction = 0.002;   // of steps that begin a fault
    // Of an assigner that has resigned to its successor; the others arrive up to 3 s
    // later.
    double lost_statements = 1;
    // Of the statements of bounds (see grant_notice.hpp), and of restarted assigners.
    bool has_bounds = true;
    // Of faults, in which the store is away, its assigner is killed and a server that
    // lives is cut off, one soon after the other.
    double combined_fraction = 0;
    // Between two renewals of the lease; zero: at random, 0.4 s on average.
    duration renewal_period{};
    unsigned limited_servers = 0; // that name a rate limit, for half of each 20 s
    // Among which the servers are spread. Each is drained and used again at times; with
    // one, none is.
    unsigned data_centres = 1;
    key_assigner_options assigner;
};

class owner_simulation
{
public:
    owner_simulation(owner_simulation_options options, std::uint64_t seed);

    // Runs one step of 10 ms. Returns a description of the violated invariant; empty if
    // all invariants hold.
    std::optional<std::string> step();

    // The number of keys, out of 65,536, that some server holds.
    unsigned held_keys() const;

    unsigned grants() const
    {
        return grants_;
    }

    unsigned restores() const
    {
        return restores_;
    }

    // The number of statements that a successor took into account.
    unsigned statements() const
    {
        return statements_;
    }

    // The number of bounds that were proved, and of restarts that a successor took into
    // account.
    unsigned proved_bounds() const
    {
        return proved_bounds_;
    }
    unsigned restarts() const
    {
        return restarts_;
    }

    unsigned drains() const
    {
        return drains_;
    }

    unsigned moves() const
    {
        return moves_;
    }

    // Ends all faults; no more begin.
    void end_faults();

private:
    struct held_range
    {
        shard_key_range keys;
        epoch at;
        time_point until{};
    };

    struct server
    {
        listed_server entry;
        listed_server written_entry; // at the last heartbeat
        time_point next_heartbeat_at{};
        bool is_up = true;
        bool is_listed = true;
        time_point cut_off_until{}; // from the store and from all assigners
        time_point listed_until{};
        std::vector<held_range> held_ranges;
        // Of all orders carried out; an order with a lower epoch is stale. `until` is
        // unset.
        std::vector<held_range> accepted_epochs;
    };

    struct assigner
    {
        std::string name;
        std::unique_ptr<key_assigner> role;
        std::uint64_t record_revision = 0;
        store_era era; // that the assigner knows of
        // Of its last term, and when that ended; lost if its process was killed.
        std::optional<assigner_term_end> term_end;
        time_point term_ended_at{};
        // When its process was last killed and restarted, until a successor knows.
        std::optional<time_point> restarted_at;
        bool had_proof = false; // of its predecessor's bound, at the last step
        time_point next_renewal_at{};
        time_point frozen_until{};
        time_point store_unreachable_until{};
        std::optional<std::size_t> unreachable_server;
        server_directory servers;
        evacuations evacuated; // that it knows of
    };

    // What the store holds.
    struct store_content
    {
        time_point at{};
        key_assignment record;
        std::uint64_t record_revision = 0;
        std::optional<std::size_t> lease_holder;
        time_point lease_until{};
        std::optional<grant_bound> bound;
    };

    // What an assigner has said about its last term, which arrives at a later time.
    struct statement
    {
        time_point at{};
        assigner_term_end said;
    };

    // An action that is due at a later time.
    struct event
    {
        time_point at{};
        std::uint64_t number = 0;
        std::function<void()> action;
    };

    void schedule(duration delay, std::function<void()> action);
    // The same, without an effect on the luck of what is scheduled otherwise.
    void schedule_aside(duration delay, std::function<void()> action);
    std::vector<event> take_due(std::vector<event>& from) const;
    double any_fraction();
    void beat(server& it);
    void state_bound(std::size_t n);
    void count_proof(assigner& it);
    void tell_restart(std::size_t n);
    duration random_duration(duration from, duration to);
    bool chance(double probability);
    void begin_fault();
    void change_drain();
    void read_drains(assigner& it) const;
    void begin_combined_fault();
    void keep_copy();
    void restore_store();
    void notice_era(std::size_t n);
    bool may_go_on(const assigner& it) const;
    void resign(std::size_t n);
    void tell_successor(std::size_t n);
    void deliver_statements();
    void run_assigner(std::size_t n);
    void try_acquire_lease(std::size_t n);
    bool is_renewal_due(assigner& it);
    void renew_lease(std::size_t n);
    void write_record(std::size_t n);
    void send_order(std::size_t n, const key_order& order);
    order_result execute_order(server& to, const key_order& order, time_point arrived_at);
    void execute_late(server& to, const key_order& order, time_point arrived_at);
    void hold(server& at, const key_order& order, time_point arrived_at);
    void track_owner(const server& at, const key_order& order);
    std::optional<std::string> check_invariants();
    bool is_store_reachable(const assigner& it) const;
    std::optional<double> limit_of(const listed_server& server) const;

    owner_simulation_options options_;
    std::mt19937_64 random_;
    // Of the statements alone, so that they leave the other faults of a seed as they are.
    std::mt19937_64 statement_random_;
    time_point now_{seconds(100)};
    std::vector<server> servers_;
    std::vector<assigner> assigners_;
    std::vector<event> events_;
    std::uint64_t last_event_ = 0;
    // Apart from events_, which are carried out in an order that random_ gives.
    std::vector<statement> statements_under_way_;
    std::vector<event> events_aside_;

    key_assignment record_;
    std::uint64_t record_revision_ = 0; // given out again after a restore
    std::optional<grant_bound> bound_;
    std::set<data_centre> drained_; // as the store says
    unsigned drains_ = 0;
    store_era era_{1};
    std::vector<store_content> copies_; // of the last seconds, the oldest first
    unsigned restores_ = 0;
    std::optional<std::size_t> lease_holder_;
    std::uint64_t lease_epoch_ = 0;
    time_point lease_until_{};
    time_point store_unavailable_until_{};
    // By key; only keys that are multiples of tracked_key_spacing.
    std::map<unsigned, std::pair<server_id, epoch>> last_owner_;
    std::optional<std::string> violation_;
    unsigned grants_ = 0;
    unsigned moves_ = 0;
    unsigned statements_ = 0;
    unsigned proved_bounds_ = 0;
    unsigned restarts_ = 0;
    bool has_ended_faults_ = false;
};

} // namespace camphorrock::testing
