#pragma once

// The state of the fake platform's key-value service. It does no I/O and reads no clock,
// so that tests and fuzzers can run it directly.
//
//     kv_engine kv({});
//     kv.run({{{"/a"}}, {put}, {}});                  // create "/a" if it is absent
//     kv.events_since(7, {"/", "0"});                 // what a watch delivers
//
// Invariants:
//   - the revision increases by one with each transaction, lease expiry or lease
//     revocation that changes a key, and with nothing else; all changes of one such step
//     carry the same revision;
//   - a key with a lease is deleted when the lease ends.
// Cost: O(log keys) per key, O(events kept) per watch.

#include "core/base/time.hpp"
#include "fakes/platform/kv_types.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorrock::fakes
{

struct kv_engine_options
{
    std::size_t max_events = 100000; // kept for watches; older events are compacted
};

class kv_engine
{
public:
    explicit kv_engine(kv_engine_options options) : options_(options) {}

    // The revision of the last change; 1 in a new store.
    std::uint64_t revision() const
    {
        return revision_;
    }

    // Returns the entries of the range, sorted by key.
    std::vector<kv_entry> range(const kv_range& keys) const;

    // Runs a transaction atomically. Each operation of the chosen branch sees the effects
    // of the operations before it.
    kv_transaction_result run(const kv_transaction& transaction);

    // Returns the id of the new lease, which is not 0.
    std::uint64_t grant_lease(duration time_to_live, time_point now);

    // Restarts the lease's time to live and returns it; nullopt if there is no such
    // lease.
    std::optional<duration> keep_alive(std::uint64_t lease, time_point now);

    // Deletes the lease and its keys. Returns false if there is no such lease.
    bool revoke_lease(std::uint64_t lease);

    // Ends all leases whose time to live has passed.
    void expire_leases(time_point now);

    // Restarts the time to live of all leases, as the store does after an outage.
    void renew_all_leases(time_point now);

    std::size_t lease_count() const
    {
        return leases_.size();
    }

    // Returns the changes of these keys from revision `first` on, oldest first, or
    // nullopt if some of the changes since then have been compacted.
    std::optional<std::vector<kv_event>> events_since(std::uint64_t first,
                                                      const kv_range& keys) const;

    // The lowest revision from which events_since() can return the changes.
    std::uint64_t first_kept_revision() const
    {
        return first_kept_revision_;
    }

private:
    struct lease_state
    {
        duration time_to_live;
        time_point expires_at;
        std::set<std::string> keys;
    };

    bool is_compare_met(const kv_compare& compare) const;
    bool do_leases_exist(const std::vector<kv_operation>& operations) const;
    kv_operation_result apply(const kv_operation& operation, std::uint64_t revision);
    void put(const kv_operation& operation, std::uint64_t revision);
    std::uint64_t erase(const kv_range& keys, std::uint64_t revision);
    void detach_from_lease(const kv_entry& entry);
    void record_event(kv_event_type type, const kv_entry& entry, std::uint64_t revision);

    kv_engine_options options_;
    std::map<std::string, kv_entry> entries_;
    std::map<std::uint64_t, lease_state> leases_;
    std::deque<kv_event> events_;
    std::uint64_t revision_ = 1;
    std::uint64_t first_kept_revision_ = 1;
    std::uint64_t last_lease_id_ = 0;
};

} // namespace camphorrock::fakes
