#include "gateway/load_agent.hpp"

#include "codec/gateway_load_codec.hpp"
#include "codec/server_load_codec.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration send_period = milliseconds(50);
constexpr duration repeat_period = milliseconds(400); // while the report is unchanged

} // namespace

result<std::unique_ptr<load_agent>> load_agent::create(event_loop& loop,
                                                       gateway_state& state,
                                                       gateway_log& log,
                                                       link_agent& links)
{
    std::unique_ptr<load_agent> made(new load_agent(loop, state, log, links));
    load_agent* self = made.get();
    BOOST_LEAF_ASSIGN(made->socket_,
                      udp_socket::create(loop,
                                         state.settings().peer,
                                         [self](std::string_view datagram)
                                         { self->on_datagram(datagram); }));
    made->send_timer_ = loop.every(send_period, [self] { self->send_reports(); });
    return made;
}

load_agent::load_agent(event_loop& loop,
                       gateway_state& state,
                       gateway_log& log,
                       link_agent& links)
    : loop_(loop), state_(state),
      reservations_(loop,
                    state,
                    [this](const endpoint& to, std::string_view datagram)
                    { send(to, datagram); }),
      limits_(loop,
              state,
              [this](const endpoint& to, std::string_view datagram)
              { send(to, datagram); }),
      crashes_(loop,
               state,
               log,
               links,
               [this](const endpoint& to, std::string_view datagram)
               { send(to, datagram); }),
      peers_(loop,
             state,
             links,
             [this](const endpoint& to, std::string_view datagram)
             { send(to, datagram); }),
      service_times_(loop,
                     state,
                     [this](const endpoint& to, std::string_view datagram)
                     { send(to, datagram); }),
      store_writes_(state,
                    [this](const endpoint& to, std::string_view datagram)
                    { send(to, datagram); })
{
    last_report_.sender = state.draw_id();
}

void load_agent::send(const endpoint& to, std::string_view datagram)
{
    socket_->send(to, datagram);
}

void load_agent::send_to_group(std::string_view datagram)
{
    for (const endpoint& to : state_.groups().members())
    {
        if (to != state_.settings().peer)
        {
            send(to, datagram);
        }
    }
}

void load_agent::send_reports()
{
    const time_point now = loop_.now();
    remote_.expire(now);
    server_loads_.expire(now);
    state_.set_remote_loads(remote_);
    send_requests(now);
    send_server_loads(now);
}

// What does not fit follows in the next datagram.
void load_agent::send_server_loads(time_point now)
{
    server_loads_notice notice;
    notice.reports = state_.take_server_reports(max_server_loads, now);
    if (notice.reports.empty())
    {
        return;
    }
    notice.sender = last_report_.sender;
    notice.sequence_number = ++last_server_loads_;
    send_to_group(encode_server_loads(notice));
}

void load_agent::send_requests(time_point now)
{
    std::vector<server_requests> servers = state_.requests_in_flight(now);
    const bool is_due =
        servers != last_report_.servers || now - last_sent_ >= repeat_period;
    if (!is_due)
    {
        return;
    }
    last_report_.servers = std::move(servers);
    ++last_report_.sequence_number;
    last_sent_ = now;
    send_to_group(encode_gateway_load(last_report_));
}

void load_agent::on_datagram(std::string_view datagram)
{
    if (const std::optional<gateway_load> report = decode_gateway_load(datagram))
    {
        remote_.add_report(*report, loop_.now());
        return;
    }
    if (const std::optional<server_loads_notice> notice = decode_server_loads(datagram))
    {
        if (server_loads_.accept(notice->sender, notice->sequence_number, loop_.now()))
        {
            state_.adopt_server_reports(notice->reports, loop_.now());
        }
        return;
    }
    const bool is_taken =
        limits_.on_datagram(datagram) || crashes_.on_datagram(datagram) ||
        peers_.on_datagram(datagram) || service_times_.on_datagram(datagram) ||
        store_writes_.on_datagram(datagram);
    if (!is_taken)
    {
        reservations_.on_datagram(datagram);
    }
}

} // namespace camphorrock
