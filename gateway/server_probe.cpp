#include "gateway/server_probe.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

// The exchange is withdrawn once the connection is open.
probe_end end_of(const exchange_result& got)
{
    if (got.end == exchange_end::withdrawn)
    {
        return probe_end::accepted;
    }
    const bool is_refused =
        got.end == exchange_end::not_connected && got.is_connection_refused;
    return is_refused ? probe_end::refused : probe_end::unanswered;
}

} // namespace

void server_probe::check(const endpoint& server, callback done)
{
    std::vector<callback>& waiting = waiting_[server];
    waiting.push_back(std::move(done));
    if (waiting.size() > 1)
    {
        return;
    }
    http_request never_sent;
    never_sent.method = "GET";
    never_sent.target = "/";
    exchange_options options;
    options.timeout = timeout;
    options.connect_timeout = timeout;
    options.connection = connection_choice::fresh;
    options.is_wanted = []
    {
        return false;
    };
    http_.send(server,
               std::move(never_sent),
               std::move(options),
               [this, server, alive = std::weak_ptr<const bool>(alive_)](
                   const exchange_result& got)
               {
                   if (!alive.expired())
                   {
                       finish(server, got);
                   }
               });
}

void server_probe::finish(const endpoint& server, const exchange_result& got)
{
    const std::vector<callback> waiting = std::exchange(waiting_[server], {});
    waiting_.erase(server);
    for (const callback& it : waiting)
    {
        it(end_of(got));
    }
}

} // namespace camphorrock
