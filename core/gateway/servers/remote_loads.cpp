#include "core/gateway/servers/remote_loads.hpp"

#include "core/base/key_hash.hpp"

#include <algorithm>
#include <cmath>

namespace camphorrock
{

server_tag tag_of(const server_id& id)
{
    return server_tag{static_cast<std::uint32_t>(hash_key(id.str()).value)};
}

void remote_loads::add(const sender_row& row, int sign)
{
    for (const server_requests& it : row.servers)
    {
        requests_by_tag_[it.server.value] += sign * static_cast<int>(it.requests);
    }
}

bool remote_loads::add_report(const gateway_load& report, time_point now)
{
    sender_row& row = senders_[report.sender];
    if (report.sequence_number <= row.sequence_number)
    {
        return false;
    }
    add(row, -1);
    row = sender_row{report.sequence_number, now, report.servers};
    add(row, 1);
    return true;
}

void remote_loads::expire(time_point now)
{
    std::erase_if(senders_,
                  [&](const auto& it)
                  {
                      const bool is_expired = now - it.second.received_at > lifetime_;
                      if (is_expired)
                      {
                          add(it.second, -1);
                      }
                      return is_expired;
                  });
    std::erase_if(requests_by_tag_, [](const auto& it) { return it.second <= 0; });
}

unsigned remote_loads::requests_at(const server_id& server, unsigned gateways) const
{
    const auto it = requests_by_tag_.find(tag_of(server).value);
    if (it == requests_by_tag_.end() || it->second <= 0 || senders_.empty())
    {
        return 0;
    }
    const double others = std::max(1.0, static_cast<double>(gateways) - 1.0);
    const double scale = std::max(1.0, others / static_cast<double>(senders_.size()));
    return static_cast<unsigned>(std::lround(it->second * scale));
}

} // namespace camphorrock
