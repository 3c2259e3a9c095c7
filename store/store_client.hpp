#pragma once

// A client of a key-value store: compare-and-swap, leases, watches. There are two
// implementations. create_store_client(), below, is for the key-value service of the
// platform on which the routers and assigners run. It speaks the JSON form of etcd's v3
// protocol (kv/range, kv/txn, lease/grant, lease/keepalive, lease/revoke, watch); see
// docs/PLATFORM.md. The gateways use make_platform_store() of platform/, for the store of
// another platform.
//
// Every call ends in exactly one callback, which is never made inside the call. `unknown`
// means that the call may have taken effect: the caller reads the key to find out.

#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "core/base/store_end.hpp"
#include "core/base/time.hpp"
#include "core/gateway/store/store_era.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorrock
{

// The store's revision at which a key was last written; 0: the key is absent.
struct store_revision
{
    std::uint64_t value = 0;

    auto operator<=>(const store_revision&) const = default;
};

// The id of a lease in the store; 0: no lease.
struct store_lease
{
    std::uint64_t value = 0;

    auto operator<=>(const store_lease&) const = default;
};

struct store_entry
{
    std::string key;
    std::string value;
    store_revision revision; // of the last write of this key
};

enum class store_freshness
{
    linearizable,
    // May be seconds old, where the store has a cheaper read of that kind.
    may_be_stale,
};

struct store_read
{
    store_end end = store_end::failed;
    std::vector<store_entry> entries; // sorted by key
    store_revision at;                // the store's revision when it was read
    bool has_more = false;            // the prefix has keys after these
};

// Selects some of the keys under a prefix.
struct store_page
{
    std::string after;     // only keys after this one; empty: from the first key on
    std::size_t limit = 0; // maximum number of keys; 0: no limit
    store_freshness freshness = store_freshness::linearizable;
};

// Where a watch begins: after a revision. A caller that has read the prefix at that
// revision passes the keys that it read; if the watch later has to read the prefix again,
// it reports those that are missing as deleted.
struct watch_start
{
    store_revision after;
    std::vector<std::string> initial_keys;
};

struct store_write
{
    store_end end = store_end::failed;
    store_revision revision;            // of the write, for `done`
    std::optional<store_entry> current; // for `conflict`; empty: the key is absent
};

struct store_lease_grant
{
    store_end end = store_end::failed;
    store_lease lease;
    duration time_to_live{};
    bool has_ended = false; // of a renewal: the store has no such lease any more
};

class store_client
{
public:
    using read_callback = std::function<void(store_read)>;
    using write_callback = std::function<void(store_write)>;
    using lease_callback = std::function<void(store_lease_grant)>;
    using watch_callback = std::function<void(std::vector<store_entry>)>;

    virtual ~store_client() = default;

    // Linearizable read of one key; returns no entry if the key is absent. A read whose
    // connection breaks is retried, at another endpoint if there is one. Writes and lease
    // calls are sent at most once.
    virtual void get(const std::string& key, read_callback done) = 0;

    // Like get(), but the entry may be stale, where the store has a cheaper read of that
    // kind.
    virtual void get_stale(const std::string& key, read_callback done)
    {
        get(key, std::move(done));
    }

    // Linearizable read of a page of the keys that begin with `prefix`. Two pages are two
    // reads: the later one includes writes made between them.
    virtual void
    get_prefix(const std::string& prefix, const store_page& page, read_callback done) = 0;

    // Writes `value` if the key's revision is `expected` (0: the key is absent). With a
    // lease, the store deletes the key when the lease ends.
    virtual void compare_and_swap(const std::string& key,
                                  store_revision expected,
                                  std::string value,
                                  store_lease lease,
                                  write_callback done) = 0;

    // Deletes the key if its revision is `expected`.
    virtual void compare_and_delete(const std::string& key,
                                    store_revision expected,
                                    write_callback done) = 0;

    virtual void grant_lease(duration time_to_live, lease_callback done) = 0;
    // Ends in `failed` if the lease has lapsed.
    virtual void keep_alive(store_lease lease, lease_callback done) = 0;
    virtual void revoke_lease(store_lease lease, lease_callback done) = 0;

    // Calls `on_changes` with the changes of keys under `prefix` after `from`; a deleted
    // key has an empty value and revision 0. The watch reconnects by itself and misses no
    // change. If the store has compacted revisions that the watch has not delivered,
    // after a long outage, the watch reads the prefix again: it delivers the entries that
    // are newer than its last revision, and as deleted the keys that it knew and that are
    // now absent. The watch ends when the handle is destroyed.
    virtual watch_handle
    watch(const std::string& prefix, watch_start from, watch_callback on_changes) = 0;

    // When a call last ended in `failed` or `unknown`. Empty if none did, or if the
    // client does not record it.
    virtual std::optional<time_point> last_failure() const
    {
        return std::nullopt;
    }

    // Sets the number of clients that watch the store. With many of them, a client may
    // watch less often, to bound the load on the store.
    virtual void set_client_count(std::size_t) {}

    // Sets the peer addresses of the programs from which watches hear of changes while
    // these can be reached, the preferred one first. Empty: watches ask the store.
    virtual void set_watch_sources(const std::vector<endpoint>&) {}

    // The handler for another program's watches, which answers them from the changes that
    // this client receives; null if the client has none.
    virtual http_handler* watch_handler()
    {
        return nullptr;
    }

    // Sets a callback for each write of this client, of a key under no prefix that it
    // watches, that took effect. Clients whose watches need no checks never call it.
    virtual void on_unwatched_write(const std::function<void(store_revision)>&) {}

    // Such a write of another program. The watches of both must be of the same prefixes.
    virtual void note_unwatched_write(store_revision) {}

    // The latest era of the store in which it has answered; 0 if it has none. An answer
    // of another era than was known when the call was sent counts as none.
    virtual store_era era() const
    {
        return {};
    }

    // Adds a listener, which is called when the store has come back from a copy: what it
    // acknowledged lately may be gone. Watches read their prefixes again by themselves.
    virtual void on_era_changed(const std::function<void()>&) {}

    // Sets a callback that is called with false when the store becomes unreachable, and
    // with true when it answers again. Clients that do not detect this never call it.
    virtual void on_reachability_changed(const std::function<void(bool)>&) {}
};

struct store_client_options
{
    std::vector<endpoint> endpoints;            // tried in turn
    duration call_timeout = milliseconds(1000); // of one call, retries included
    // A write uses a new connection unless the endpoint answered within this time, so
    // that it does not end in `unknown` on a kept connection that is unresponsive.
    duration liveness_window = milliseconds(2000);
    // A watch reconnects after this time, since an unresponsive connection cannot be told
    // from a prefix without changes.
    duration watch_lifetime = milliseconds(4000);
    // The maximum delay before a broken watch reconnects for the first time. It doubles
    // with each failure, up to 16 times this value; each delay is drawn at random between
    // half of it and all of it.
    duration watch_retry_delay = milliseconds(500);
    std::uint64_t seed = 1; // of the random delays; differs between processes
};

// `loop` and `http` must outlive the client. Fails with invalid_argument if `options` has
// no endpoints.
result<std::unique_ptr<store_client>>
create_store_client(event_loop& loop, http_client& http, store_client_options options);

} // namespace camphorrock
