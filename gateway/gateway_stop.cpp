#include "gateway/gateway_stop.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration check_period = milliseconds(50);
// The load balancer needs a while to notice that the gateway is not ready.
constexpr duration max_accept_time = milliseconds(2600);
constexpr int accept_time_divisor = 2; // of the limit, if that is short
// For the last answers to be sent before the process ends.
constexpr duration send_time = milliseconds(100);

} // namespace

gateway_stop::gateway_stop(event_loop& loop,
                           http_server& clients,
                           client_handler& requests,
                           duration limit,
                           std::function<void()> on_stopped)
    : loop_(loop), clients_(clients), requests_(requests),
      on_stopped_(std::move(on_stopped)),
      accepts_until_(loop.now() +
                     std::min<duration>(max_accept_time, limit / accept_time_divisor)),
      deadline_(loop.now() + limit)
{
    clients_.close_after_answers();
    requests_.answer_all_by(deadline_ - send_time);
    check_timer_ = loop_.every(check_period, [this] { check(); });
}

void gateway_stop::check()
{
    const time_point now = loop_.now();
    if (now < accepts_until_)
    {
        return;
    }
    requests_.refuse_requests();
    clients_.stop_accepting();
    clients_.close_idle();
    if (is_idle() || now >= deadline_)
    {
        check_timer_.reset();
        std::exchange(on_stopped_, nullptr)();
    }
}

bool gateway_stop::is_idle() const
{
    return clients_.connections() == 0 && clients_.lingering_connections() == 0 &&
           requests_.in_flight() == 0;
}

} // namespace camphorrock
