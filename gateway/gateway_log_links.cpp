// The part of gateway_log for the links to the servers, and for requests that go by
// another gateway.

#include "core/base/enum_names.hpp"
#include "gateway/gateway_log.hpp"

namespace camphorrock
{
namespace
{

const metric_name link_rounds_metric{
    "camphorrock_gateway_link_probe_rounds_total",
    "Rounds of probes of servers that seemed out of reach, by suspicion and result."};
const metric_name links_lost_metric{"camphorrock_gateway_links_lost_total",
                                    "Times that no server could be reached from here."};
const metric_name links_outage_metric{"camphorrock_gateway_links_outage_seconds",
                                      "From the loss of the links until their return."};
const metric_name forwards_metric{
    "camphorrock_gateway_forwards_total",
    "Requests that were sent by another gateway, by what became of them there."};
const metric_name forward_latency_metric{
    "camphorrock_gateway_forward_seconds",
    "From the forwarding of a request until the other gateway's answer."};
const metric_name taken_metric{
    "camphorrock_gateway_forwards_taken_total",
    "Requests of other gateways that were taken on, or the reason why not."};

constexpr enum_names<forward_reason, 2> forward_reason_names{{{
    {forward_reason::links_lost, "links_lost"},
    {forward_reason::server_unreachable, "server_unreachable"},
}}};

} // namespace

void gateway_log::links_probed(link_suspicion why,
                               const probe_round& round,
                               duration elapsed)
{
    const char* found = round.accepted > 0 ? "accepted" : "none";
    metrics_
        .get_counter(link_rounds_metric,
                     {{"suspicion", std::string(name_of(why))}, {"result", found}})
        .add();
    events_.write(event_id::links_probed,
                  {{"suspicion", name_of(why)},
                   {"asked", round.asked},
                   {"accepted", round.accepted},
                   {"late", round.is_late},
                   {"elapsed_us", elapsed}});
}

void gateway_log::links_lost(link_suspicion why, const probe_round& round)
{
    metrics_.get_counter(links_lost_metric).add();
    events_.write(event_id::links_lost,
                  {{"suspicion", name_of(why)}, {"asked", round.asked}});
}

void gateway_log::links_back(duration elapsed)
{
    metrics_.get_histogram(links_outage_metric).record(elapsed);
    events_.write(event_id::links_back, {{"elapsed_us", elapsed}});
}

void gateway_log::request_forwarded(const request_fields& request,
                                    const endpoint& to,
                                    forward_reason why,
                                    duration elapsed)
{
    events_.write(event_id::request_forwarded,
                  {{"request", request.id},
                   {"route", request.route},
                   {"service", request.service},
                   {"gateway", to},
                   {"why", forward_reason_names.name(why)},
                   {"elapsed_us", elapsed}});
}

void gateway_log::forward_ended(const request_fields& request,
                                const endpoint& to,
                                forward_end how,
                                exchange_end end,
                                duration elapsed)
{
    metrics_.get_counter(forwards_metric, {{"end", std::string(name_of(how))}}).add();
    metrics_.get_histogram(forward_latency_metric).record(elapsed);
    events_.write(event_id::forward_ended,
                  {{"request", request.id},
                   {"route", request.route},
                   {"gateway", to},
                   {"end", name_of(how)},
                   {"exchange", name_of(end)},
                   {"elapsed_us", elapsed}});
}

void gateway_log::forward_taken(const request_fields& request, unsigned max_attempts)
{
    metrics_.get_counter(taken_metric, {{"result", "taken"}}).add();
    events_.write(event_id::forward_taken,
                  {{"request", request.id},
                   {"route", request.route},
                   {"max_attempts", max_attempts}});
}

void gateway_log::forward_declined(forward_end reason)
{
    metrics_.get_counter(taken_metric, {{"result", std::string(name_of(reason))}}).add();
}

} // namespace camphorrock
