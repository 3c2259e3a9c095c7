#pragma once

// The servers that a gateway knows, from the entries that they keep in the store.
//
//     directory.put(entry, now);         // the entry was written or renewed
//     directory.remove(id, grace, now);  // the entry was removed
//     directory.announce_leaving(id, incarnation, now);  // the server's answers say so
//     for (const known_server* it : directory.servers_of(service)) ...
//
// A removed entry may only have lapsed while the store was unavailable. Its server then
// writes it again within the grace period that is passed to remove(). Until the end of
// that period the server keeps its keys but gets no other requests. After it, the server
// counts as gone. Its row is kept for `gone_retention` longer, so that the server can be
// ordered to release its keys.
//
// A server that drains does so until its entries have said otherwise for
// `draining_retention`, since a store that comes back from a copy may hold an entry from
// before. One that has announced in an answer that it leaves does so whatever its entry
// says later. An entry of a new incarnation ends both at once.
//
// A server of a drained data centre takes no new requests. If it owns keys, requests for
// them go on until the stop time, so that the keys can move first.
//
// Memory: one row per server, including servers that are gone until expire() drops them.

#include "core/gateway/servers/evacuations.hpp"
#include "core/gateway/servers/listed_server.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace camphorrock
{

struct known_server
{
    listed_server entry;
    time_point entry_received_at{}; // when the entry was last received
    bool is_missing = false;        // the entry is not in the store
    time_point gone_at{};           // when the server counts as gone; valid if is_missing
    time_point draining_since{};    // when draining was first seen; valid if is_draining
    // When the first answer arrived that announces that the server leaves, if any did.
    std::optional<time_point> announced_leaving_at;
    // Since when its entries say that it drains no more; empty if the last one does not.
    std::optional<time_point> ready_again_since = {};
    // When requests for its keys end, if its data centre is drained.
    std::optional<time_point> evacuation_stop_at = {};
    // When its data centre's last drain ended; see evacuations::ended_at().
    std::optional<time_point> evacuation_ended_at = {};

    // True if the server takes new requests.
    bool is_usable() const
    {
        return !entry.is_draining && !is_missing && !announced_leaving_at &&
               !is_evacuated();
    }

    // True if its data centre is drained.
    bool is_evacuated() const
    {
        return evacuation_stop_at.has_value();
    }

    // True if no request may be sent to it, not even for its keys.
    bool is_past_evacuation(time_point now) const
    {
        return evacuation_stop_at && now >= *evacuation_stop_at;
    }

    // When the server began to leave, or when it counts as gone, which may lie in the
    // future. Empty if neither applies.
    std::optional<time_point> leaving_since() const
    {
        std::optional<time_point> since = announced_leaving_at;
        if (entry.is_draining)
        {
            since = std::min(since.value_or(draining_since), draining_since);
        }
        if (is_missing)
        {
            since = std::min(since.value_or(gone_at), gone_at);
        }
        return since;
    }

    // True if the server leaves or is gone.
    bool is_leaving(time_point now) const
    {
        return entry.is_draining || announced_leaving_at ||
               (is_missing && now >= gone_at);
    }
};

// True if the server is known and is still that incarnation.
inline bool is_same_incarnation(const known_server* server,
                                const server_incarnation& incarnation)
{
    return server != nullptr && server->entry.incarnation == incarnation;
}

struct server_directory_options
{
    // A server writes its entry again within two seconds after the store has come back.
    duration draining_retention = seconds(6);
    duration gone_retention = seconds(5); // how long rows of gone servers are kept
    // The same for servers that announced it: their entries may come back without them.
    duration announced_retention = seconds(600);
};

class server_directory
{
public:
    explicit server_directory(server_directory_options options = {}) : options_(options)
    {
    }

    // The entry was written or renewed. Ignored if it is of an older incarnation than the
    // stored one.
    void put(const listed_server& entry, time_point now);

    // The entry was removed. The server counts as gone unless put() is called within
    // `grace`. Further calls have no effect until then.
    void remove(const server_id& id, duration grace, time_point now);

    // An answer of that incarnation announced that the server leaves. Returns false if
    // that was known already, or if the server is not known or is another incarnation.
    bool announce_leaving(const server_id& id,
                          const server_incarnation& incarnation,
                          time_point now);

    // The store has exactly these entries: puts each of them and removes all others.
    void
    replace(const std::vector<listed_server>& entries, duration grace, time_point now);

    // Notes on each server, also on those that are listed later, whether its data centre
    // is drained and when its last drain ended.
    void set_evacuations(const evacuations& evacuated);

    // Drops the rows of servers that have been gone for their retention time.
    void expire(time_point now);

    // Returns null if the server is not known.
    const known_server* find(const server_id& id) const;

    // Returns the servers of the service, sorted by id. O(servers).
    std::vector<const known_server*> servers_of(const service_name& service) const;

    const std::map<server_id, known_server>& all() const
    {
        return servers_;
    }

private:
    void note_evacuation(known_server& it) const;

    server_directory_options options_;
    evacuations evacuated_;
    std::map<server_id, known_server> servers_;
};

} // namespace camphorrock
