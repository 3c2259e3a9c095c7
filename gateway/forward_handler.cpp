#include "gateway/forward_handler.hpp"

#include "net/http_status.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr std::size_t max_forwarded_in_flight = 64;

} // namespace

void forward_handler::handle(http_request request,
                             std::shared_ptr<http_responder> responder)
{
    std::optional<forward_target> forwarded = parse_forward_target(request.target);
    if (!forwarded)
    {
        http_response refusal;
        refusal.status = http_status::bad_request;
        refusal.body = "not the target of a forwarded request\n";
        set_forward_end(refusal, forward_end::unsupported);
        responder->respond(std::move(refusal));
        return;
    }
    if (const std::optional<forward_end> reason = reason_to_decline())
    {
        http_response refusal = make_decline(*reason);
        refusal.headers.add(
            context_.codec.names().request_id,
            std::string(
                request.headers.find(context_.codec.names().request_id).value_or("")));
        context_.log.forward_declined(*reason);
        responder->respond(std::move(refusal));
        return;
    }
    request.target = std::move(forwarded->target);
    clients_.handle_forwarded(std::move(request), std::move(responder), forwarded->terms);
}

std::optional<forward_end> forward_handler::reason_to_decline() const
{
    if (is_stopping_)
    {
        return forward_end::stopping;
    }
    if (context_.links != nullptr && context_.links->state() == link_state::lost)
    {
        return forward_end::cut_off;
    }
    if (clients_.forwarded_in_flight() >= max_forwarded_in_flight)
    {
        return forward_end::full;
    }
    return std::nullopt;
}

} // namespace camphorrock
