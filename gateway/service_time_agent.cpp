#include "gateway/service_time_agent.hpp"

#include "codec/service_time_codec.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration report_period = seconds(1);

} // namespace

service_time_agent::service_time_agent(event_loop& loop,
                                       gateway_state& state,
                                       send_function send)
    : loop_(loop), state_(state), send_(std::move(send))
{
    report_timer_ = loop_.every(report_period, [this] { report(); });
}

void service_time_agent::report()
{
    owner_service_times& times = state_.owner_times();
    times.expire(loop_.now());
    const std::vector<server_service_time> measured = state_.take_owner_service_times();
    const std::optional<endpoint>& assigner = state_.assigner();
    if (assigner == state_.settings().peer)
    {
        for (const server_service_time& it : measured)
        {
            times.add(it, loop_.now());
        }
        return;
    }
    if (assigner)
    {
        send(measured);
    }
}

void service_time_agent::send(const std::vector<server_service_time>& measured)
{
    for (std::size_t n = 0; n < measured.size(); n += max_service_times_in_datagram)
    {
        const std::size_t end =
            std::min(measured.size(), n + max_service_times_in_datagram);
        const auto first = measured.begin();
        send_(*state_.assigner(),
              encode_service_times({first + static_cast<std::ptrdiff_t>(n),
                                    first + static_cast<std::ptrdiff_t>(end)}));
    }
}

bool service_time_agent::on_datagram(std::string_view datagram)
{
    const auto measured = decode_service_times(datagram);
    if (!measured)
    {
        return false;
    }
    for (const server_service_time& it : *measured)
    {
        state_.owner_times().add(it, loop_.now());
    }
    return true;
}

} // namespace camphorrock
