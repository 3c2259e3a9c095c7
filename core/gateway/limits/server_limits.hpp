#pragma once

// The rate limits that servers name in their answers: the requests a second that a server
// takes from all gateways together, for as long as its answers say so.
//
//     limits.observe(id, incarnation, statement, now);   // of an answer of the server
//     limits.adopt(limit);                               // observed by another gateway
//     if (std::optional<double> rate = limits.rate_of(id, incarnation, now)) ...
//
// The latest observation counts, whichever gateway made it. An answer without a limit
// ends it, but the requests that were kept back must not all return at once: for
// `recovery_time` the server still has a limit, which doubles each
// `recovery_doubling_time`. A limit is never taken for less than `min_rate`, so that a
// server that names 0 gets a request now and then, whose answer shows when the limit
// ends.
//
// Memory: one row of about 120 bytes for each server that names a limit, until it has
// ended or the server is gone; at most `max_servers`.

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/gateway/servers/listed_server.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace camphorrock
{

// What one answer of a server says of its limit.
struct limit_statement
{
    bool is_present = false;    // the answer names a limit
    std::optional<double> rate; // requests a second; empty if it could not be read
};

// What is known of one server's limit.
struct server_limit
{
    server_id server;
    server_incarnation incarnation;
    double rate = 0;        // requests a second, as last named
    bool has_ended = false; // a later answer named none
    time_point observed_at{};

    bool operator==(const server_limit&) const = default;
};

struct server_limits_options
{
    double min_rate = 0.25; // requests a second
    duration recovery_time = seconds(4);
    duration recovery_doubling_time = seconds(1);
    double min_recovery_rate = 2; // requests a second, when the recovery begins
    std::size_t max_servers = 4096;
};

// How an answer changed what is known.
enum class limit_change
{
    none,
    named,      // the server had no limit
    changed,    // it named another one
    ended,      // it names none any more
    unreadable, // the first answer of its incarnation whose limit could not be read
};

class server_limits
{
public:
    explicit server_limits(server_limits_options options = {}) : options_(options) {}

    // An answer of the server arrived. An unreadable limit changes nothing else.
    limit_change observe(const server_id& server,
                         const server_incarnation& incarnation,
                         const limit_statement& said,
                         time_point now);

    // Another gateway's observation, with its time on this gateway's clock. Returns false
    // if it is not later than what is known.
    bool adopt(const server_limit& seen);

    // The requests a second that the server takes now; empty if it has no limit.
    std::optional<double> rate_of(const server_id& server,
                                  const server_incarnation& incarnation,
                                  time_point now) const;

    // Drops the limits whose recovery is over, and those of servers for which `is_known`
    // is false.
    void expire(const std::function<bool(const server_limit&)>& is_known, time_point now);

    // Sorted by server.
    std::vector<server_limit> all() const;

    bool empty() const
    {
        return rows_.empty();
    }

private:
    server_limits_options options_;
    std::map<server_id, server_limit> rows_;
    // The incarnation of each server that named a limit that could not be read.
    std::map<server_id, server_incarnation> unreadable_;
};

} // namespace camphorrock
