#include "fakes/site/site_server.hpp"

#include "codec/json_text.hpp"
#include "core/base/busiest_window.hpp"
#include "core/base/number_text.hpp"
#include "net/http_status.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock::fakes
{
namespace
{

bool overlap(const shard_key_range& a, const shard_key_range& b)
{
    return a.first <= b.last && b.first <= a.last;
}

std::string header_value(const http_request& request, const char* name)
{
    return std::string(request.headers.find(name).value_or(""));
}

} // namespace

site_server::site_server(event_loop& loop, site_server_options options)
    : loop_(loop), options_(std::move(options)), random_(options_.seed),
      queue_(options_.slots, options_.max_queued)
{
}

http_response site_server::make_refusal(const http_request& request, int status) const
{
    http_response made;
    made.status = status;
    made.headers.add("Request-Id", header_value(request, "Request-Id"));
    made.headers.add("Not-Executed", "1");
    made.headers.add("Instance-Id", options_.id);
    announce(made);
    return made;
}

// Every answer of a server that leaves, has a limit or reports its load says so.
void site_server::announce(http_response& answer) const
{
    if (faults_.is_leaving)
    {
        answer.headers.add("Server-Leaving", "1");
    }
    if (!faults_.names_limit.empty())
    {
        answer.headers.add("Server-Limit", faults_.names_limit);
    }
    if (!faults_.names_warm_up.empty())
    {
        answer.headers.add("Warmup-Ms", faults_.names_warm_up);
    }
    if (!faults_.names_load.empty())
    {
        answer.headers.add("Server-Load", faults_.names_load);
    }
}

std::size_t site_server::most_arrivals(duration window, time_point from) const
{
    return busiest_window(arrivals_, window, from);
}

bool site_server::holds(shard_key key) const
{
    return std::any_of(granted_.begin(),
                       granted_.end(),
                       [&](const key_grant& it)
                       { return it.keys.contains(key) && loop_.now() < it.expires_at; });
}

void site_server::handle(http_request request, std::shared_ptr<http_responder> responder)
{
    arrivals_.push_back(loop_.now());
    const bool is_order = request.target == "/camphorrock/grant" ||
                          request.target == "/camphorrock/release";
    if (is_order)
    {
        handle_order(request, responder);
        return;
    }
    handle_request(std::move(request), std::move(responder));
}

void site_server::handle_request(http_request request,
                                 std::shared_ptr<http_responder> responder)
{
    const std::string expected = header_value(request, "Target-Instance");
    const auto key = parse_number<unsigned>(header_value(request, "Shard-Key"));
    const bool is_for_this_server = expected.empty() || expected == options_.id;
    const bool is_owned = !options_.is_keyed || (key && holds(shard_key{*key}));
    if (!is_for_this_server || !is_owned)
    {
        responder->respond(make_refusal(request, http_status::misdirected));
        return;
    }
    if (!faults_.asks_pause.empty())
    {
        http_response refusal = make_refusal(request, http_status::unavailable);
        refusal.headers.add("Retry-After", faults_.asks_pause);
        ++pauses_asked_;
        responder->respond(std::move(refusal));
        return;
    }
    if (happens(faults_.refuse_share))
    {
        const int status = any_of_statuses(faults_.refuse_statuses);
        responder->respond(make_refusal(request, status));
        return;
    }
    if (faults_.is_unresponsive)
    {
        unanswered_responders_.push_back(std::move(responder));
        return;
    }
    const slot_ticket ticket{++last_ticket_};
    const slot_admission admitted = queue_.admit(ticket);
    if (admitted == slot_admission::full && faults_.hangs_when_full)
    {
        ++hung_;
        unanswered_responders_.push_back(std::move(responder));
        return;
    }
    if (admitted == slot_admission::full)
    {
        responder->respond(make_refusal(request, http_status::unavailable));
        return;
    }
    responder->on_disconnect([this, ticket] { on_caller_disconnected(ticket); });
    items_[ticket] = {std::move(request), std::move(responder), {}, false};
    if (admitted == slot_admission::run)
    {
        start_run(ticket);
    }
}

void site_server::start_run(slot_ticket ticket)
{
    work_item& it = items_[ticket];
    it.is_running = true;
    runs_.push_back({header_value(it.request, "Request-Id"),
                     it.request.target,
                     header_value(it.request, "Timeout-Remaining"),
                     options_.id,
                     loop_.now()});
    it.timer = loop_.after(options_.work, [this, ticket] { finish_run(ticket); });
}

void site_server::finish_run(slot_ticket ticket)
{
    const bool is_crash = !faults_.crashes_on.empty() &&
                          items_[ticket].request.target.starts_with(faults_.crashes_on);
    if (is_crash)
    {
        faults_.on_crash();
        return;
    }
    work_item it = std::move(items_[ticket]);
    items_.erase(ticket);
    queue_.release();
    if (const std::optional<slot_ticket> next = queue_.take_next())
    {
        start_run(*next);
    }
    if (!it.responder)
    {
        return;
    }
    if (faults_.loses_answers)
    {
        it.responder->abort();
        return;
    }
    const std::string id = header_value(it.request, "Request-Id");
    http_response made;
    const bool is_failed =
        runs_.size() * faults_.fail_share >= 1 && faults_.fail_share > 0;
    made.status = is_failed ? http_status::server_error : http_status::ok;
    if (happens(faults_.run_status_share))
    {
        made.status = any_of_statuses(faults_.run_statuses);
    }
    made.headers.add("Request-Id", faults_.echoes_other_request_id ? "another" : id);
    if (!faults_.omits_signature)
    {
        made.headers.add("Response-Signature", "signed." + options_.id);
    }
    if (faults_.sets_content_encoding)
    {
        made.headers.add("Content-Encoding", "gzip");
    }
    announce(made);
    made.body = options_.id + " ran " + it.request.method + " " + it.request.target +
                " with " + it.request.body;
    it.responder->respond(std::move(made));
}

void site_server::on_caller_disconnected(slot_ticket ticket)
{
    auto it = items_.find(ticket);
    if (it == items_.end())
    {
        return;
    }
    ++cancelled_;
    const bool was_running = it->second.is_running;
    items_.erase(it);
    if (!was_running)
    {
        queue_.remove(ticket);
        return;
    }
    queue_.release();
    if (const std::optional<slot_ticket> next = queue_.take_next())
    {
        start_run(*next);
    }
}

void site_server::handle_order(const http_request& request,
                               const std::shared_ptr<http_responder>& responder)
{
    const time_point arrived_at = loop_.now();
    if (faults_.order_delay > duration::zero())
    {
        unanswered_responders_.push_back(responder);
        delayed_order_timers_.push_back(loop_.after(
            faults_.order_delay,
            [this, request, arrived_at] { apply_order(request, arrived_at); }));
        return;
    }
    if (faults_.order_time > duration::zero())
    {
        delayed_order_timers_.push_back(
            loop_.after(faults_.order_time,
                        [this, request, responder, arrived_at]
                        { answer_order(request, responder, arrived_at); }));
        return;
    }
    answer_order(request, responder, arrived_at);
}

void site_server::answer_order(const http_request& request,
                               const std::shared_ptr<http_responder>& responder,
                               time_point arrived_at)
{
    http_response answer = apply_order(request, arrived_at);
    announce(answer);
    responder->respond(std::move(answer));
}

bool site_server::happens(double share)
{
    return share > 0 && std::bernoulli_distribution(share)(random_);
}

int site_server::any_of_statuses(const std::vector<int>& statuses)
{
    std::uniform_int_distribution<std::size_t> any(0, statuses.size() - 1);
    return statuses[any(random_)];
}

http_response site_server::apply_order(const http_request& request, time_point arrived_at)
{
    const Json::Value body =
        value_or_handle([&] { return parse_json(request.body); },
                        [](const error&) { return Json::Value(Json::objectValue); });
    const shard_key_range keys{body["from"].asUInt(), body["to"].asUInt()};
    const std::uint64_t epoch = body["fence"].asUInt64();
    const bool is_grant = request.target == "/camphorrock/grant";
    const bool is_stale = std::any_of(
        applied_orders_.begin(),
        applied_orders_.end(),
        [&](const key_grant& it) { return overlap(it.keys, keys) && it.epoch > epoch; });
    http_response made;
    if (is_stale)
    {
        made.status = is_grant ? http_status::conflict : http_status::ok;
        return made;
    }
    applied_orders_.push_back({keys, epoch, {}});
    std::vector<key_grant> remaining;
    for (const key_grant& it : granted_)
    {
        if (!overlap(it.keys, keys))
        {
            remaining.push_back(it);
            continue;
        }
        if (it.keys.first < keys.first)
        {
            remaining.push_back(
                {{it.keys.first, keys.first - 1}, it.epoch, it.expires_at});
        }
        if (it.keys.last > keys.last)
        {
            remaining.push_back({{keys.last + 1, it.keys.last}, it.epoch, it.expires_at});
        }
    }
    granted_ = remaining;
    if (is_grant)
    {
        const std::string text = body["hold_time"].asString();
        const auto ms = parse_number<unsigned>(text.substr(0, text.find("ms")));
        granted_.push_back({keys, epoch, arrived_at + milliseconds(ms.value_or(0))});
    }
    else
    {
        made.headers.add("Handover", "state-of-" + options_.id);
    }
    return made;
}

} // namespace camphorrock::fakes
