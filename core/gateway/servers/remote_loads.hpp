#pragma once

// The requests that other gateways have in flight at each server, according to their
// reports.
//
// Reports may be lost or delayed. A report counts until a newer one of the same gateway
// is received, or for `lifetime`. If only some of the gateways report to this one, their
// sum is extrapolated to all of them.
//
// Memory: one row per reporting gateway, with its servers.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace camphorrock
{

// The low 32 bits of the hash of a server's id. Reports are sent often, so they carry
// this instead of the id; a collision only adds the loads of two servers.
struct server_tag
{
    std::uint32_t value = 0;

    auto operator<=>(const server_tag&) const = default;
};

server_tag tag_of(const server_id& id);

struct server_requests
{
    server_tag server;
    unsigned requests = 0;

    bool operator==(const server_requests&) const = default;
};

// A report of one gateway's requests in flight. Servers without any are omitted.
struct gateway_load
{
    std::uint64_t sender = 0; // random, drawn at the start of the reporting gateway
    std::uint64_t sequence_number = 0; // increases with each report
    std::vector<server_requests> servers;

    bool operator==(const gateway_load&) const = default;
};

class remote_loads
{
public:
    explicit remote_loads(duration lifetime = milliseconds(1000)) : lifetime_(lifetime) {}

    // Replaces the sender's previous report. Returns false and has no effect if the
    // report is not newer than that one.
    bool add_report(const gateway_load& report, time_point now);

    // Drops reports that are older than `lifetime`.
    void expire(time_point now);

    // Returns the estimated requests in flight at the server from all other gateways.
    // `gateways` is the number of gateways, including this one.
    unsigned requests_at(const server_id& server, unsigned gateways) const;

    // The number of gateways with a current report.
    std::size_t sender_count() const
    {
        return senders_.size();
    }

private:
    struct sender_row
    {
        std::uint64_t sequence_number = 0;
        time_point received_at{}; // when the report was received
        std::vector<server_requests> servers;
    };

    // Adds the row's requests to the sums, or subtracts them for a `sign` of -1.
    void add(const sender_row& row, int sign);

    duration lifetime_;
    std::map<std::uint64_t, sender_row> senders_;
    std::unordered_map<std::uint32_t, int> requests_by_tag_; // in flight; may be zero
};

} // namespace camphorrock
