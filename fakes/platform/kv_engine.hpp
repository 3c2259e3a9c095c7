#pragma once

// The state of the fake platform's key-value service, without I/O or a clock, so that
// tests and fuzzers can run it directly.
//
//     kv_engine kv({});
//     kv.run({{{"/a"}}, {put}, {}});                  // create "/a" if it is absent
//     kv.events_since(7, {"/", "0"});                 // what a watch delivers
//
// Invariants: the revision grows by one with each transaction, expiry or revocation that
// changes a key, and by nothing else; all its changes carry that revision. A key with a
// lease goes when the lease ends. Cost: O(log keys) a key, O(events kept) a watch.

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
    std::size_t max_events = 100000; // kept for watches; older ones are compacted
};

class kv_engine
{
public:
    explicit kv_engine(kv_engine_options options) : options_(options) {}

    // Of the last change; 1 in a new store.
    std::uint64_t revision() const
    {
        return revision_;
    }

    // In the order of the keys.
    std::vector<kv_entry> range(const kv_range& keys) const;

    // Atomic. An operation of the chosen branch sees the effects of those before it.
    kv_transaction_result run(const kv_transaction& what);

    // Returns the id, which is not 0.
    std::uint64_t grant_lease(duration time_to_live, time_point now);

    // Starts the lease's time anew and returns its length; none if it does not exist.
    std::optional<duration> keep_alive(std::uint64_t lease, time_point now);

    // Deletes the lease with its keys. False if it does not exist.
    bool revoke_lease(std::uint64_t lease);

    // Ends all leases whose time is over.
    void expire(time_point now);

    // Starts the time of all leases anew, as after an outage of the store.
    void renew_all(time_point now);

    std::size_t leases() const
    {
        return leases_.size();
    }

    // The changes from revision `first` on, in their order; none if some of them are no
    // longer kept.
    std::optional<std::vector<kv_event>> events_since(std::uint64_t first,
                                                      const kv_range& keys) const;

    // The lowest revision that events_since still answers.
    std::uint64_t first_kept() const
    {
        return first_kept_;
    }

private:
    struct lease_state
    {
        duration time_to_live;
        time_point ends;
        std::set<std::string> keys;
    };

    bool holds(const kv_compare& what) const;
    bool are_leases_known(const std::vector<kv_operation>& operations) const;
    kv_operation_result apply(const kv_operation& what, std::uint64_t revision);
    void put(const kv_operation& what, std::uint64_t revision);
    std::uint64_t erase(const kv_range& keys, std::uint64_t revision);
    void detach(const kv_entry& entry);
    void note(kv_event_type type, const kv_entry& entry, std::uint64_t revision);

    kv_engine_options options_;
    std::map<std::string, kv_entry> entries_;
    std::map<std::uint64_t, lease_state> leases_;
    std::deque<kv_event> events_;
    std::uint64_t revision_ = 1;
    std::uint64_t first_kept_ = 1;
    std::uint64_t last_lease_ = 0;
};

} // namespace camphorrock::fakes
