#include "router/forwarder.hpp"

#include "core/ownership/record_keys.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// What the scheduling router may add to the caller's time before the hop is given up.
constexpr duration hop_allowance = milliseconds(20);

} // namespace

void forwarder::forward(const live_request_ptr& request, const route& to)
{
    send(request, to, false);
}

void forwarder::send(const live_request_ptr& request, const route& to, bool is_second)
{
    duration left = request->deadline - parts_.loop.now();
    if (left <= duration::zero())
    {
        request->refuse(refusal::deadline_passed);
        return;
    }
    peers_.sent(to.peer);
    if (peers_.is_unresponsive(to.peer))
    {
        request->refuse(refusal::scheduler_unreachable, "silent");
        return;
    }
    exchange_options options;
    options.timeout = left + hop_allowance;
    bool needs_fresh = is_second || !request->id.empty();
    options.connection =
        needs_fresh ? connection_choice::fresh : connection_choice::pooled;
    exchange_id id = parts_.http.send(to.peer,
                                      make_request(*request),
                                      options,
                                      [this, request, to, is_second](exchange_result got)
                                      { ended(request, to, is_second, std::move(got)); });
    if (request->id.empty())
    {
        request->on_disconnect = [this, id]
        {
            parts_.http.cancel(id);
        };
    }
}

void forwarder::ended(const live_request_ptr& request,
                      const route& to,
                      bool is_second,
                      exchange_result got)
{
    request->on_disconnect = nullptr;
    if (got.end == exchange_end::answered)
    {
        peers_.note_answer(to.peer);
        request->pass_on(std::move(got.answer));
        return;
    }
    route again =
        parts_.routes.find(shard_of(request->target.service), request->target.hash);
    bool has_other = again.kind == route_kind::forward && again.peer != to.peer;
    if (!is_second && has_other && may_send_again(*request, got))
    {
        if (!is_unsent(got.end))
        {
            request->note_may_have_run();
        }
        send(request, again, true);
        return;
    }
    if (got.end == exchange_end::timed_out && got.is_connection_reused)
    {
        parts_.http.drop_connections(to.peer);
    }
    bool is_nothing = is_unsent(got.end);
    request->refuse(is_nothing ? refusal::scheduler_unreachable : refusal::answer_lost,
                    std::string(name_of(got.end)));
}

bool forwarder::may_send_again(const live_request& request,
                               const exchange_result& got) const
{
    bool is_safe = request.id.empty() || is_unsent(got.end);
    bool is_in_time = request.deadline > parts_.loop.now();
    return is_safe && is_in_time &&
           parts_.retries.try_spend(request.target.service, request.caller);
}

http_request forwarder::make_request(const live_request& request) const
{
    http_request sent;
    sent.method = request.method;
    sent.target = std::string(forward_prefix) + request.target_text;
    sent.headers = request.headers;
    sent.body = request.body;
    auto left =
        std::chrono::duration_cast<milliseconds>(request.deadline - parts_.loop.now());
    sent.headers.set(timeout_header,
                     std::to_string(std::max<std::int64_t>(left.count(), 1)));
    sent.headers.set(caller_header, request.caller.str());
    return sent;
}

} // namespace camphorrock
