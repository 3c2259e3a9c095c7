#include "router/forwarder.hpp"

#include "core/ownership/record_keys.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// Time after the request's deadline within which the scheduling router may still answer;
// then the exchange times out.
constexpr duration answer_allowance = milliseconds(20);

} // namespace

void forwarder::forward(const live_request_ptr& request, const route& to)
{
    send(request, to, false);
}

void forwarder::send(const live_request_ptr& request, const route& to, bool is_retry)
{
    duration left = request->deadline - context_.loop.now();
    if (left <= duration::zero())
    {
        request->refuse(refusal::deadline_passed);
        return;
    }
    prober_.sent(to.peer);
    if (prober_.is_unresponsive(to.peer))
    {
        request->refuse(refusal::scheduler_unreachable, "silent");
        return;
    }
    exchange_options options;
    options.timeout = left + answer_allowance;
    bool needs_fresh_connection = is_retry || !request->id.empty();
    options.connection =
        needs_fresh_connection ? connection_choice::fresh : connection_choice::pooled;
    options.is_wanted = [request]
    {
        return request->is_wanted();
    };
    exchange_id id =
        context_.http.send(to.peer,
                           make_request(*request),
                           options,
                           [this, request, to, is_retry](exchange_result got)
                           { on_exchange_ended(request, to, is_retry, std::move(got)); });
    if (request->id.empty())
    {
        request->on_caller_disconnect = [this, id]
        {
            context_.http.cancel(id);
        };
    }
}

void forwarder::on_exchange_ended(const live_request_ptr& request,
                                  const route& to,
                                  bool is_retry,
                                  exchange_result got)
{
    request->on_caller_disconnect = nullptr;
    if (got.end == exchange_end::answered)
    {
        prober_.note_answer(to.peer);
        request->forward_answer(std::move(got.answer));
        return;
    }
    if (got.end == exchange_end::withdrawn)
    {
        request->abort(); // the caller has left
        return;
    }
    route new_route =
        context_.routes.find(shard_of(request->target.service), request->target.hash);
    bool has_other_peer =
        new_route.kind == route_kind::forward && new_route.peer != to.peer;
    if (!is_retry && has_other_peer && may_retry(*request, got))
    {
        if (!is_unsent(got.end))
        {
            request->note_may_have_run();
        }
        send(request, new_route, true);
        return;
    }
    if (got.end == exchange_end::timed_out && got.is_connection_reused)
    {
        context_.http.drop_connections(to.peer);
    }
    bool is_never_sent = is_unsent(got.end);
    request->refuse(is_never_sent ? refusal::scheduler_unreachable : refusal::answer_lost,
                    std::string(name_of(got.end)));
}

bool forwarder::may_retry(const live_request& request, const exchange_result& got) const
{
    bool is_safe = request.id.empty() || is_unsent(got.end);
    bool is_in_time = request.deadline > context_.loop.now();
    return is_safe && is_in_time &&
           context_.retries.try_spend(request.target.service, request.caller);
}

http_request forwarder::make_request(const live_request& request) const
{
    http_request forwarded;
    forwarded.method = request.method;
    forwarded.target = std::string(forward_prefix) + request.target_text;
    forwarded.headers = request.headers;
    forwarded.body = request.body;
    auto left =
        std::chrono::duration_cast<milliseconds>(request.deadline - context_.loop.now());
    forwarded.headers.set(timeout_header,
                          std::to_string(std::max<std::int64_t>(left.count(), 1)));
    forwarded.headers.set(caller_header, request.caller.str());
    return forwarded;
}

} // namespace camphorrock
