#include "router/server_lane.hpp"

#include "core/admission/server_queue.hpp"
#include "net/http_status.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// Headers of one hop, or set anew for the server.
bool is_passed_on(std::string_view name)
{
    constexpr std::array<std::string_view, 7> kept_back{"connection",
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
    return std::find(kept_back.begin(), kept_back.end(), lower) == kept_back.end();
}

bool says_not_run(const http_response& answer)
{
    return answer.headers.find(outcome_header) == name_of(outcome::not_run);
}

answer_kind kind_of(const exchange_result& got)
{
    constexpr int first_server_error = 500;
    if (got.end == exchange_end::timed_out ||
        got.end == exchange_end::timed_out_before_send)
    {
        return answer_kind::timed_out;
    }
    if (got.end != exchange_end::answered)
    {
        return answer_kind::failed;
    }
    if (got.answer.status == http_status::unavailable && says_not_run(got.answer))
    {
        return answer_kind::shed;
    }
    return got.answer.status >= first_server_error ? answer_kind::failed
                                                   : answer_kind::good;
}

lane_end not_run(refusal why, std::string detail = {})
{
    return {lane_verdict::not_run, {}, {why, std::move(detail), {}}};
}

lane_end judge(exchange_result got)
{
    if (is_unsent(got.end))
    {
        return not_run(refusal::server_unreachable);
    }
    if (got.end != exchange_end::answered)
    {
        return {lane_verdict::unknown,
                {},
                {refusal::answer_lost, std::string(name_of(got.end)), {}}};
    }
    if (says_not_run(got.answer))
    {
        bool is_shed = got.answer.status == http_status::unavailable;
        return not_run(is_shed ? refusal::server_shed : refusal::server_refused);
    }
    return {lane_verdict::answered, std::move(got.answer), {}};
}

} // namespace

result<std::unique_ptr<server_lane>> server_lane::create(router_parts& parts,
                                                         scheduler_authority& authority,
                                                         partition_load& load,
                                                         server_id server,
                                                         std::size_t slots)
{
    server_queue_options options;
    options.slots = slots;
    BOOST_LEAF_AUTO(queue, server_queue::create(options, parts.random));
    return std::unique_ptr<server_lane>(
        new server_lane(parts, authority, load, std::move(server), std::move(queue)));
}

server_lane::server_lane(router_parts& parts,
                         scheduler_authority& authority,
                         partition_load& load,
                         server_id server,
                         std::unique_ptr<queue_policy> queue)
    : parts_(parts), authority_(authority), load_(load), server_(std::move(server)),
      queue_(std::move(queue))
{
}

ticket server_lane::submit(live_request_ptr request, callback done)
{
    ticket id{++last_ticket_};
    queued_request queued;
    queued.id = id;
    queued.caller = request->caller;
    queued.route = request->route;
    queued.deadline = request->deadline;
    queued.is_repeatable = request->id.empty();
    queued.is_declared_long = request->is_declared_long;
    pending_.emplace(id, pending{std::move(request), std::move(done), {}, {}, {}, false});
    queue_actions actions;
    queue_->arrive(queued, parts_.loop.now(), actions);
    carry_out(actions);
    return id;
}

void server_lane::set_slots(std::size_t slots)
{
    queue_actions actions;
    queue_->slots_changed(slots, parts_.loop.now(), actions);
    carry_out(actions);
}

void server_lane::withdraw(ticket id)
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
        parts_.http.cancel(it->second.exchange);
        authority_.request_ended(server_, id.value, false);
    }
    pending_.erase(it);
    queue_actions actions;
    queue_->cancelled(id, parts_.loop.now(), actions);
    carry_out(actions);
}

void server_lane::resend(time_point sent_before)
{
    std::vector<ticket> silent;
    for (const auto& [id, it] : pending_)
    {
        bool is_sent = it.exchange.value != 0 && it.sent_at <= sent_before;
        if (is_sent && it.request->id.empty() && !it.is_resent)
        {
            silent.push_back(id);
        }
    }
    for (ticket id : silent)
    {
        pending& it = pending_.at(id);
        std::optional<request_permit> permit =
            authority_.permit(it.request->target.hash, parts_.loop.now());
        bool is_ours = permit && permit->server == server_;
        const live_request& request = *it.request;
        if (!is_ours || !parts_.retries.try_spend(request.target.service, request.caller))
        {
            continue;
        }
        parts_.http.cancel(it.exchange);
        it.is_resent = true;
        it.request->note_may_have_run();
        send(id, it, *permit, connection_choice::fresh);
    }
}

lane_figures server_lane::take_figures()
{
    return std::exchange(figures_, {});
}

void server_lane::carry_out(const queue_actions& actions)
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
        end(refused.id, {lane_verdict::not_run, {}, std::move(why)});
    }
    arm_timer();
}

void server_lane::start(ticket id)
{
    pending& it = pending_.at(id);
    time_point now = parts_.loop.now();
    key_hash at = it.request->target.hash;
    std::optional<request_permit> permit = authority_.permit(at, now);
    bool is_ours = permit && permit->server == server_;
    bool is_sent = is_ours && it.request->deadline > now &&
                   authority_.request_sent(server_, id.value, at, now);
    if (is_sent)
    {
        connection_choice choice =
            it.request->id.empty() ? connection_choice::pooled : connection_choice::fresh;
        send(id, it, *permit, choice);
        return;
    }
    refusal why = is_ours && it.request->deadline <= now ? refusal::deadline_passed
                                                         : refusal::no_authority;
    // The queue must not be entered again while it hands out its actions. The lane may be
    // gone by then, where the caller was gone before.
    unstarted_.push_back({id, why});
    unstarted_timer_ =
        parts_.loop.after(duration::zero(), [this] { refuse_unstarted(); });
}

void server_lane::refuse_unstarted()
{
    for (const unstarted& it : std::exchange(unstarted_, {}))
    {
        leave_slot(it.id, answer_kind::good, duration::zero());
        end(it.id, not_run(it.why));
    }
}

void server_lane::send(ticket id,
                       pending& it,
                       const request_permit& permit,
                       connection_choice choice)
{
    exchange_options options;
    options.timeout = it.request->deadline - parts_.loop.now();
    options.connection = choice;
    it.address = permit.address;
    it.sent_at = parts_.loop.now();
    it.exchange =
        parts_.http.send(permit.address,
                         make_request(*it.request, permit.since),
                         options,
                         [this, id](exchange_result got) { ended(id, std::move(got)); });
}

void server_lane::ended(ticket id, exchange_result got)
{
    bool is_end_known = got.end == exchange_end::answered || is_unsent(got.end);
    // The answer of a second sending says nothing of the first.
    bool is_definite = is_end_known && !pending_.at(id).is_resent;
    authority_.request_ended(server_, id.value, is_definite);
    if (got.end == exchange_end::timed_out && got.is_connection_reused)
    {
        parts_.http.drop_connections(pending_.at(id).address);
    }
    figures_.answered += got.end == exchange_end::answered ? 1 : 0;
    figures_.shed += kind_of(got) == answer_kind::shed ? 1 : 0;
    figures_.slot_time += got.time_taken;
    load_.add(pending_.at(id).request->target.hash,
              std::chrono::duration<double>(got.time_taken).count(),
              parts_.loop.now());
    answer_kind kind = kind_of(got);
    duration service_time = got.time_taken;
    end(id, judge(std::move(got)));
    leave_slot(id, kind, service_time);
}

void server_lane::end(ticket id, lane_end how)
{
    auto node = pending_.extract(id);
    if (!node.empty())
    {
        node.mapped().done(std::move(how));
    }
}

void server_lane::leave_slot(ticket id, answer_kind answer, duration service_time)
{
    queue_actions actions;
    queue_->finished(id, {answer, service_time}, parts_.loop.now(), actions);
    carry_out(actions);
}

void server_lane::arm_timer()
{
    std::optional<time_point> at = queue_->next_tick();
    if (!at)
    {
        timer_.reset();
        return;
    }
    timer_ = parts_.loop.at(*at,
                            [this]
                            {
                                queue_actions actions;
                                queue_->tick(parts_.loop.now(), actions);
                                carry_out(actions);
                            });
}

http_request server_lane::make_request(const live_request& request, epoch since) const
{
    http_request sent;
    sent.method = request.method;
    sent.target = request.target_text;
    sent.body = request.body;
    for (const http_header& it : request.headers.all())
    {
        if (is_passed_on(it.name))
        {
            sent.headers.add(it.name, it.value);
        }
    }
    auto left =
        std::chrono::duration_cast<milliseconds>(request.deadline - parts_.loop.now());
    sent.headers.set(timeout_header,
                     std::to_string(std::max<std::int64_t>(left.count(), 1)));
    sent.headers.set(epoch_header, std::to_string(since.value));
    return sent;
}

} // namespace camphorrock
