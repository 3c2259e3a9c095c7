#include "router/server_dispatcher.hpp"

#include "core/admission/server_queue.hpp"
#include "net/http_status.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// Returns false for hop-by-hop headers and for those that are set anew for the server.
bool is_forwarded_header(std::string_view name)
{
    constexpr std::array<std::string_view, 7> excluded{"connection",
                                                       "keep-alive",
                                                       "transfer-encoding",
                                                       "content-length",
                                                       "te",
                                                       "host",
                                                       "expect"};
    std::string lower(name);
    std::transform(lower.begin(),
                   lower.end(),
                   lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return std::find(excluded.begin(), excluded.end(), lower) == excluded.end();
}

bool reports_not_run(const http_response& answer)
{
    return answer.headers.find(outcome_header) == name_of(outcome::not_run);
}

answer_kind answer_kind_of(const exchange_result& got)
{
    constexpr int first_server_error = 500;
    if (got.end == exchange_end::timed_out ||
        got.end == exchange_end::timed_out_before_send)
    {
        return answer_kind::timed_out;
    }
    if (got.end == exchange_end::withdrawn)
    {
        return answer_kind::good; // says nothing about the server
    }
    if (got.end != exchange_end::answered)
    {
        return answer_kind::failed;
    }
    if (got.answer.status == http_status::unavailable && reports_not_run(got.answer))
    {
        return answer_kind::shed;
    }
    return got.answer.status >= first_server_error ? answer_kind::failed
                                                   : answer_kind::good;
}

dispatch_result not_run(refusal why, std::string detail = {})
{
    return {dispatch_end::not_run, {}, {why, std::move(detail), {}}};
}

dispatch_result to_dispatch_result(exchange_result got)
{
    if (got.end == exchange_end::withdrawn)
    {
        return not_run(refusal::no_authority);
    }
    if (is_unsent(got.end))
    {
        return not_run(refusal::server_unreachable);
    }
    if (got.end != exchange_end::answered)
    {
        return {dispatch_end::unknown,
                {},
                {refusal::answer_lost, std::string(name_of(got.end)), {}}};
    }
    if (reports_not_run(got.answer))
    {
        bool is_shed = got.answer.status == http_status::unavailable;
        return not_run(is_shed ? refusal::server_shed : refusal::server_refused);
    }
    return {dispatch_end::answered, std::move(got.answer), {}};
}

} // namespace

result<std::unique_ptr<server_dispatcher>>
server_dispatcher::create(router_context& context,
                          scheduler_authority& authority,
                          partition_load& load,
                          server_id server,
                          std::size_t slots)
{
    server_queue_options options;
    options.slots = slots;
    BOOST_LEAF_AUTO(queue, server_queue::create(options, context.random));
    return std::unique_ptr<server_dispatcher>(new server_dispatcher(
        context, authority, load, std::move(server), std::move(queue)));
}

server_dispatcher::server_dispatcher(router_context& context,
                                     scheduler_authority& authority,
                                     partition_load& load,
                                     server_id server,
                                     std::unique_ptr<queue_policy> queue)
    : context_(context), authority_(authority), load_(load), server_(std::move(server)),
      queue_(std::move(queue))
{
}

ticket server_dispatcher::submit(live_request_ptr request, callback done)
{
    ticket id{++last_ticket_};
    queued_request queued;
    queued.id = id;
    queued.caller = request->caller;
    queued.route = request->route;
    queued.deadline = request->deadline;
    queued.is_repeatable = request->id.empty();
    queued.is_declared_long = request->is_declared_long;
    pending_.emplace(
        id, pending_request{std::move(request), std::move(done), {}, {}, {}, false});
    queue_actions actions;
    queue_->arrive(queued, context_.loop.now(), actions);
    carry_out(actions);
    return id;
}

void server_dispatcher::set_slots(std::size_t slots)
{
    queue_actions actions;
    queue_->slots_changed(slots, context_.loop.now(), actions);
    carry_out(actions);
}

void server_dispatcher::withdraw(ticket id)
{
    auto it = pending_.find(id);
    if (it == pending_.end())
    {
        return;
    }
    bool is_sent = it->second.exchange.value != 0;
    if (is_sent && !it->second.request->id.empty())
    {
        return;
    }
    if (is_sent)
    {
        context_.http.cancel(it->second.exchange);
        authority_.request_ended(server_, id.value, false);
    }
    pending_.erase(it);
    queue_actions actions;
    queue_->cancelled(id, context_.loop.now(), actions);
    carry_out(actions);
}

void server_dispatcher::resend(time_point sent_until)
{
    std::vector<ticket> candidates;
    for (const auto& [id, it] : pending_)
    {
        bool is_sent = it.exchange.value != 0 && it.sent_at <= sent_until;
        if (is_sent && it.request->id.empty() && !it.is_resent)
        {
            candidates.push_back(id);
        }
    }
    for (ticket id : candidates)
    {
        pending_request& it = pending_.at(id);
        std::optional<request_permit> permit =
            authority_.permit(it.request->target.hash, context_.loop.now());
        bool is_scheduled_here = permit && permit->server == server_;
        const live_request& request = *it.request;
        if (!is_scheduled_here ||
            !context_.retries.try_spend(request.target.service, request.caller))
        {
            continue;
        }
        context_.http.cancel(it.exchange);
        it.is_resent = true;
        it.request->note_may_have_run();
        send(id, it, *permit, connection_choice::fresh);
    }
}

dispatcher_stats server_dispatcher::take_stats()
{
    return std::exchange(stats_, {});
}

void server_dispatcher::carry_out(const queue_actions& actions)
{
    for (const queue_action& action : actions)
    {
        if (const auto* it = std::get_if<start_request>(&action))
        {
            start(it->id);
            continue;
        }
        const auto& refused = std::get<refuse_request>(action);
        problem why{refusal::overloaded,
                    std::string(name_of(refused.reason)),
                    refused.retry_after};
        complete(refused.id, {dispatch_end::not_run, {}, std::move(why)});
    }
    arm_timer();
}

void server_dispatcher::start(ticket id)
{
    pending_request& it = pending_.at(id);
    time_point now = context_.loop.now();
    key_hash hash = it.request->target.hash;
    std::optional<request_permit> permit = authority_.permit(hash, now);
    bool is_scheduled_here = permit && permit->server == server_;
    bool is_sent = is_scheduled_here && it.request->deadline > now &&
                   authority_.request_sent(server_, id.value, hash, now);
    if (is_sent)
    {
        connection_choice choice =
            it.request->id.empty() ? connection_choice::pooled : connection_choice::fresh;
        send(id, it, *permit, choice);
        return;
    }
    refusal why = is_scheduled_here && it.request->deadline <= now
                      ? refusal::deadline_passed
                      : refusal::no_authority;
    // The queue must not be called again while its actions are carried out, so the
    // request is refused in the next turn of the loop. If the caller disconnects before
    // that, the dispatcher may have been destroyed by then; the timer handle cancels the
    // call.
    unsent_requests_.push_back({id, why});
    unsent_timer_ = context_.loop.after(duration::zero(), [this] { refuse_unsent(); });
}

void server_dispatcher::refuse_unsent()
{
    for (const unsent_request& it : std::exchange(unsent_requests_, {}))
    {
        free_slot(it.id, answer_kind::good, duration::zero());
        complete(it.id, not_run(it.why));
    }
}

void server_dispatcher::send(ticket id,
                             pending_request& it,
                             const request_permit& permit,
                             connection_choice choice)
{
    exchange_options options;
    options.timeout = it.request->deadline - context_.loop.now();
    options.connection = choice;
    options.is_wanted = [this, request = it.request, since = permit.since]
    {
        return request->is_wanted() && is_permitted(*request, since);
    };
    it.address = permit.address;
    it.sent_at = context_.loop.now();
    it.exchange = context_.http.send(permit.address,
                                     make_request(*it.request, permit.since),
                                     options,
                                     [this, id](exchange_result got)
                                     { on_exchange_ended(id, std::move(got)); });
}

// True if the request may still be sent under the permit that it got.
bool server_dispatcher::is_permitted(const live_request& request, epoch since) const
{
    const std::optional<request_permit> permit =
        authority_.permit(request.target.hash, context_.loop.now());
    return permit && permit->server == server_ && permit->since == since;
}

void server_dispatcher::on_exchange_ended(ticket id, exchange_result got)
{
    bool is_end_known = got.end == exchange_end::answered || is_unsent(got.end);
    // The answer to a second attempt says nothing about the first one.
    bool is_definite = is_end_known && !pending_.at(id).is_resent;
    authority_.request_ended(server_, id.value, is_definite);
    if (got.end == exchange_end::timed_out && got.is_connection_reused)
    {
        context_.http.drop_connections(pending_.at(id).address);
    }
    stats_.answered += got.end == exchange_end::answered ? 1 : 0;
    stats_.shed += answer_kind_of(got) == answer_kind::shed ? 1 : 0;
    stats_.slot_time += got.time_taken;
    load_.add(pending_.at(id).request->target.hash,
              std::chrono::duration<double>(got.time_taken).count(),
              context_.loop.now());
    answer_kind kind = answer_kind_of(got);
    duration service_time = got.time_taken;
    complete(id, to_dispatch_result(std::move(got)));
    free_slot(id, kind, service_time);
}

void server_dispatcher::complete(ticket id, dispatch_result got)
{
    auto node = pending_.extract(id);
    if (!node.empty())
    {
        node.mapped().done(std::move(got));
    }
}

void server_dispatcher::free_slot(ticket id, answer_kind answer, duration service_time)
{
    queue_actions actions;
    queue_->finished(id, {answer, service_time}, context_.loop.now(), actions);
    carry_out(actions);
}

void server_dispatcher::arm_timer()
{
    std::optional<time_point> at = queue_->next_tick();
    if (!at)
    {
        timer_.reset();
        return;
    }
    timer_ = context_.loop.at(*at,
                              [this]
                              {
                                  queue_actions actions;
                                  queue_->tick(context_.loop.now(), actions);
                                  carry_out(actions);
                              });
}

http_request server_dispatcher::make_request(const live_request& request,
                                             epoch since) const
{
    http_request sent;
    sent.method = request.method;
    sent.target = request.target_text;
    sent.body = request.body;
    for (const http_header& it : request.headers.all())
    {
        if (is_forwarded_header(it.name))
        {
            sent.headers.add(it.name, it.value);
        }
    }
    auto left =
        std::chrono::duration_cast<milliseconds>(request.deadline - context_.loop.now());
    sent.headers.set(timeout_header,
                     std::to_string(std::max<std::int64_t>(left.count(), 1)));
    sent.headers.set(epoch_header, std::to_string(since.value));
    return sent;
}

} // namespace camphorrock
