#pragma once

// The platform's key-value service: compare-and-swap, leases, watches. The one
// implementation speaks the JSON form of etcd's v3 protocol (kv/range, kv/txn,
// lease/grant, lease/keepalive, lease/revoke, watch); see docs/PLATFORM.md.
//
// Every call ends in exactly one callback, never inside the call. `unknown` means that
// the call may have taken effect: the caller reads back to learn whether it did.

#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "core/base/store_end.hpp"
#include "core/base/time.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorrock
{

// The store's revision at which a key was last written; 0 stands for "absent".
struct store_revision
{
    std::uint64_t value = 0;

    auto operator<=>(const store_revision&) const = default;
};

// A lease in the store; 0 stands for "none".
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

struct store_read
{
    store_end end = store_end::failed;
    std::vector<store_entry> entries; // in the order of their keys
    store_revision at;                // the store's revision when it was read
    bool has_more = false;            // of the prefix, after these
};

// A part of the keys under a prefix.
struct store_page
{
    std::string after;     // the keys behind this one; empty: from the first on
    std::size_t limit = 0; // at most so many; 0: no bound
};

// Where a watch begins: behind a revision, and for whoever has read the prefix at that
// revision the keys that were there, so that those that go unseen are delivered as
// deleted.
struct watch_start
{
    store_revision after;
    std::vector<std::string> known;
};

struct store_write
{
    store_end end = store_end::failed;
    store_revision revision;            // of the write, for `done`
    std::optional<store_entry> current; // for `conflict`; none where the key is absent
};

struct store_lease_grant
{
    store_end end = store_end::failed;
    store_lease lease;
    duration time_to_live{};
};

class store_client
{
public:
    using read_callback = std::function<void(store_read)>;
    using write_callback = std::function<void(store_write)>;
    using lease_callback = std::function<void(store_lease_grant)>;
    using watch_callback = std::function<void(std::vector<store_entry>)>;

    virtual ~store_client() = default;

    // Linearizable read of one key; no entry where it is absent. A read that meets a
    // broken connection is repeated, at another endpoint where there is one. What changes
    // something is sent at most once.
    virtual void get(const std::string& key, read_callback done) = 0;

    // Linearizable read of a page of the keys that begin with `prefix`. Two pages are two
    // reads: the later one shows what was written between them.
    virtual void
    get_prefix(const std::string& prefix, const store_page& page, read_callback done) = 0;

    // Writes `value` if the key's revision is `expected` (0: the key is absent). With a
    // lease, the key goes when the lease ends.
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
    // A lease that has lapsed answers `failed`.
    virtual void keep_alive(store_lease lease, lease_callback done) = 0;
    virtual void revoke_lease(store_lease lease, lease_callback done) = 0;

    // Calls for each change of a key under `prefix` after `from`; a deleted key comes
    // with an empty value and revision 0. The watch reconnects by itself and misses no
    // change; after an outage so long that the store has dropped the revisions since, it
    // reads the prefix anew and delivers what is there, and as deleted the keys that it
    // knew and that are not. Ends with the handle.
    virtual watch_handle
    watch(const std::string& prefix, watch_start from, watch_callback changed) = 0;

    // When a call last failed or ended unknown; none where that is not known.
    virtual std::optional<time_point> last_failure() const
    {
        return std::nullopt;
    }

    // How many clients follow the store: with many of them a client may watch more
    // slowly, so that its calls do not add up.
    virtual void set_clients(std::size_t) {}

    // Calls with false when the store is found to be out of reach, and with true when it
    // answers again. Clients that do not watch for it never call.
    virtual void on_reach_changed(const std::function<void(bool)>&) {}
};

struct store_client_options
{
    std::vector<endpoint> endpoints;            // tried in turn
    duration call_timeout = milliseconds(1000); // of one call with its repetitions
    // A call that changes something takes a new connection unless the endpoint answered
    // within this time, so that it does not end `unknown` on a connection gone silent.
    duration proven_alive = milliseconds(2000);
    // A watch is opened anew after this time, since a connection that has gone silent
    // looks like a prefix without changes.
    duration watch_lifetime = milliseconds(4000);
    // The longest pause before a broken watch reconnects. It doubles with each failure,
    // up to 16 times, and is drawn between half and all of it.
    duration watch_retry = milliseconds(500);
    std::uint64_t seed = 1; // of these draws; differs between processes
};

// `loop` and `http` must outlive the client.
result<std::unique_ptr<store_client>>
create_store_client(event_loop& loop, http_client& http, store_client_options options);

} // namespace camphorrock
