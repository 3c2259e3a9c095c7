#pragma once

// What the other gateways have in flight at each server, by their reports.
//
// Reports may be lost and come late; one counts until a newer one of the same gateway, or
// for `lifetime`. Where only some gateways report here, their sum stands for all of them.
//
// Memory: one row a gateway that reports, with its servers.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace camphorrock
{

// A server's id as 32 bits: reports are sent often, and a clash only blurs a load.
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

// One gateway's requests in flight; servers without any are left out.
struct gateway_load
{
    std::uint64_t sender = 0; // drawn at the sender's start
    std::uint64_t number = 0; // rises with each report
    std::vector<server_requests> servers;

    bool operator==(const gateway_load&) const = default;
};

class remote_loads
{
public:
    explicit remote_loads(duration lifetime = milliseconds(1000)) : lifetime_(lifetime) {}

    // False for a report that is not newer than the sender's last.
    bool take(const gateway_load& report, time_point now);

    // Forgets reports that are too old.
    void expire(time_point now);

    // Requests at the server, of all other gateways. `gateways` is their number, this one
    // included.
    unsigned requests_at(const server_id& server, unsigned gateways) const;

    std::size_t senders() const
    {
        return senders_.size();
    }

private:
    struct sender_row
    {
        std::uint64_t number = 0;
        time_point at{};
        std::vector<server_requests> servers;
    };

    void add(const sender_row& row, int sign);

    duration lifetime_;
    std::map<std::uint64_t, sender_row> senders_;
    std::unordered_map<std::uint32_t, int> sums_; // by server tag
};

} // namespace camphorrock
