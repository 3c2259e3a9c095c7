#include "router/request_handler.hpp"

#include "core/ownership/record_keys.hpp"
#include "router/shard_agent.hpp"

namespace camphorrock
{
namespace
{

const metric_name requests_metric{"camphorrock_requests_total",
                                  "Requests ended, by what the caller was told."};
const metric_name refusals_metric{"camphorrock_refusals_total",
                                  "Requests refused, by reason."};
const metric_name latency_metric{"camphorrock_request_seconds",
                                 "Time from arrival to answer."};

} // namespace

request_handler::request_handler(router_context& context,
                                 const config_agent& config,
                                 shard_finder find_shard)
    : context_(context), config_(config), find_shard_(std::move(find_shard)),
      forwarder_(context)
{
}

void request_handler::handle(http_request request,
                             std::shared_ptr<http_responder> responder)
{
    accept(std::move(request), create_request(responder));
}

void request_handler::handle_forwarded(http_request request,
                                       const std::shared_ptr<http_responder>& responder)
{
    live_request_ptr opened = create_request(responder);
    opened->is_forwarded = true;
    accept(std::move(request), opened);
}

live_request_ptr
request_handler::create_request(const std::shared_ptr<http_responder>& responder)
{
    ++held_requests_;
    // The end callback finds the request by this address, since a shared pointer would
    // keep the request alive.
    auto self = std::make_shared<live_request*>(nullptr);
    auto end =
        [this, responder, self](const request_summary& summary, http_response* answer)
    {
        --held_requests_;
        record_metrics(**self, summary);
        if (answer == nullptr)
        {
            responder->abort();
            return;
        }
        responder->respond(std::move(*answer));
    };
    auto request = std::make_shared<live_request>(end, context_.random);
    *self = request.get();
    request->has_caller_left = [responder]
    {
        return responder->is_disconnected();
    };
    responder->on_disconnect(
        [weak = std::weak_ptr<live_request>(request)]
        {
            if (live_request_ptr it = weak.lock())
            {
                it->on_caller_disconnected();
            }
        });
    return request;
}

void request_handler::accept(http_request from, const live_request_ptr& request)
{
    if (held_requests_ > context_.settings.max_requests)
    {
        request->refuse(refusal::over_budget, "too many requests are held here");
        return;
    }
    if (!config_.may_serve())
    {
        request->refuse(refusal::stale_configuration);
        return;
    }
    request_rules rules;
    rules.default_timeout = context_.settings.default_timeout;
    std::optional<problem> fault = read_request(
        std::move(from), config_.current(), rules, context_.loop.now(), *request);
    if (fault)
    {
        request->refuse(*fault);
        return;
    }
    dispatch(request);
}

void request_handler::dispatch(const live_request_ptr& request)
{
    context_.retries.count_first_attempt(request->target.service, request->caller);
    shard_id shard = shard_of(request->target.service);
    shard_agent* agent = find_shard_(shard);
    if (agent == nullptr)
    {
        request->refuse(refusal::no_owner);
        return;
    }
    if (request->is_forwarded)
    {
        agent->submit(request);
        return;
    }
    route to = context_.routes.find(shard, request->target.hash);
    switch (to.kind)
    {
    case route_kind::local:
        agent->submit(request);
        return;
    case route_kind::forward:
        forwarder_.forward(request, to);
        return;
    case route_kind::refuse:
        request->refuse(to.why);
        return;
    }
}

void request_handler::record_metrics(const live_request& request,
                                     const request_summary& summary)
{
    if (request.is_forwarded)
    {
        return;
    }
    std::string service = request.target.service.str();
    std::string reported_outcome =
        summary.is_aborted ? "cut" : std::string(name_of(summary.reported_outcome));
    context_.metrics
        .get_counter(requests_metric,
                     {{"service", service},
                      {"caller", request.caller.str()},
                      {"outcome", reported_outcome}})
        .add();
    if (summary.is_refusal)
    {
        std::string why(details_of(summary.why).type);
        context_.metrics
            .get_counter(refusals_metric, {{"service", service}, {"reason", why}})
            .add();
        return;
    }
    duration latency = context_.loop.now() - request.arrived;
    context_.metrics
        .get_histogram(latency_metric,
                       {{"service", service},
                        {"caller", request.caller.str()},
                        {"class", request.route.str()}})
        .record(latency);
}

} // namespace camphorrock
