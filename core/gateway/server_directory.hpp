#pragma once

// The servers that a gateway knows, by the entries that they keep in the store.
//
//     directory.put(entry, now);          // written or renewed
//     directory.remove(id, now);          // the entry is gone
//     for (const known_server* it : directory.servers_of(service)) ...
//
// An entry that goes may have lapsed while the store was away; the server then puts it
// back within the grace that remove() is given. Until then the server keeps its keys, but
// gets no other requests. Its row stays a while longer, so that it can be told to give up
// its keys.
//
// Memory: one row a server, and those of servers that are gone until expire().

#include "core/gateway/listed_server.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace camphorrock
{

struct known_server
{
    listed_server entry;
    time_point seen{};         // when the entry last came
    bool is_missing = false;   // its entry is not there
    time_point gone_at{};      // from then on, a missing server counts as gone
    time_point drains_since{}; // when its entry first said that it drains

    bool is_usable() const
    {
        return !entry.is_draining && !is_missing;
    }

    // None while the server stays, as far as known.
    std::optional<time_point> leaves_since() const
    {
        if (entry.is_draining)
        {
            return drains_since;
        }
        return is_missing ? std::optional(gone_at) : std::nullopt;
    }

    bool is_leaving(time_point now) const
    {
        return entry.is_draining || (is_missing && now >= gone_at);
    }
};

// True for a server that is known and still in that life.
inline bool is_same_life(const known_server* server, const server_life& life)
{
    return server != nullptr && server->entry.life == life;
}

struct server_directory_options
{
    duration keep_gone = seconds(5); // rows of servers that are gone
};

class server_directory
{
public:
    explicit server_directory(server_directory_options options = {}) : options_(options)
    {
    }

    void put(const listed_server& entry, time_point now);
    // The entry is gone, and the server counts as gone unless it returns within `grace`.
    void remove(const server_id& id, duration grace, time_point now);

    // The directory is exactly `entries`: others are removed.
    void
    replace(const std::vector<listed_server>& entries, duration grace, time_point now);

    // Forgets the servers that have been gone for long enough.
    void expire(time_point now);

    // Null where it is not known.
    const known_server* find(const server_id& id) const;

    // In the order of their ids. O(servers).
    std::vector<const known_server*> servers_of(const service_name& service) const;

    const std::map<server_id, known_server>& all() const
    {
        return servers_;
    }

private:
    server_directory_options options_;
    std::map<server_id, known_server> servers_;
};

} // namespace camphorrock
