#include "fakes/site/site_server.hpp"

#include "codec/json_text.hpp"
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

std::string header(const http_request& request, const char* name)
{
    return std::string(request.headers.find(name).value_or(""));
}

} // namespace

site_server::site_server(event_loop& loop, site_server_options options)
    : loop_(loop), options_(std::move(options)), queue_(options_.slots, options_.queue)
{
}

http_response site_server::refusal(int status) const
{
    http_response made;
    made.status = status;
    made.headers.add("Not-Executed", "1");
    made.headers.add("Instance-Id", options_.id);
    return made;
}

bool site_server::holds(shard_key key) const
{
    return std::any_of(held_.begin(),
                       held_.end(),
                       [&](const held_keys& it)
                       { return it.keys.contains(key) && loop_.now() < it.until; });
}

void site_server::handle(http_request request, std::shared_ptr<http_responder> responder)
{
    const bool is_order = request.target == "/camphorrock/grant" ||
                          request.target == "/camphorrock/release";
    if (is_order)
    {
        take_order(request, responder);
        return;
    }
    take_request(std::move(request), std::move(responder));
}

void site_server::take_request(http_request request,
                               std::shared_ptr<http_responder> responder)
{
    const std::string expected = header(request, "Target-Instance");
    const auto key = parse_number<unsigned>(header(request, "Shard-Key"));
    const bool is_mine = expected.empty() || expected == options_.id;
    const bool is_owned = !options_.is_keyed || (key && holds(shard_key{*key}));
    if (!is_mine || !is_owned)
    {
        responder->respond(refusal(http_status::misdirected));
        return;
    }
    if (faults_.is_silent)
    {
        unanswered_.push_back(std::move(responder));
        return;
    }
    const slot_ticket ticket{++last_ticket_};
    const slot_admission admitted = queue_.admit(ticket);
    if (admitted == slot_admission::full)
    {
        responder->respond(refusal(http_status::unavailable));
        return;
    }
    responder->on_disconnect([this, ticket] { left(ticket); });
    items_[ticket] = {std::move(request), std::move(responder), {}, false};
    if (admitted == slot_admission::run)
    {
        begin(ticket);
    }
}

void site_server::begin(slot_ticket ticket)
{
    work_item& it = items_[ticket];
    it.is_running = true;
    runs_.push_back({header(it.request, "Request-Id"),
                     it.request.target,
                     header(it.request, "Timeout-Remaining")});
    it.timer = loop_.after(options_.work, [this, ticket] { end(ticket); });
}

void site_server::end(slot_ticket ticket)
{
    work_item it = std::move(items_[ticket]);
    items_.erase(ticket);
    queue_.release();
    if (const std::optional<slot_ticket> next = queue_.next())
    {
        begin(*next);
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
    const std::string id = header(it.request, "Request-Id");
    http_response made;
    const bool fails = runs_.size() * faults_.fail_share >= 1 && faults_.fail_share > 0;
    made.status = fails ? http_status::server_error : http_status::ok;
    made.headers.add("Request-Id", faults_.answers_for_others ? "another" : id);
    if (!faults_.has_no_signature)
    {
        made.headers.add("Response-Signature", "signed." + options_.id);
    }
    if (faults_.is_encoded)
    {
        made.headers.add("Content-Encoding", "gzip");
    }
    made.body = options_.id + " ran " + it.request.method + " " + it.request.target +
                " with " + it.request.body;
    it.responder->respond(std::move(made));
}

void site_server::left(slot_ticket ticket)
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
    if (const std::optional<slot_ticket> next = queue_.next())
    {
        begin(*next);
    }
}

void site_server::take_order(const http_request& request,
                             const std::shared_ptr<http_responder>& responder)
{
    const time_point arrived = loop_.now();
    if (faults_.orders_late > duration::zero())
    {
        unanswered_.push_back(responder);
        late_.push_back(loop_.after(faults_.orders_late,
                                    [this, request, arrived]
                                    { carry_out_order(request, arrived); }));
        return;
    }
    responder->respond(carry_out_order(request, arrived));
}

http_response site_server::carry_out_order(const http_request& request,
                                           time_point arrived)
{
    const Json::Value body =
        value_or_handle([&] { return parse_json(request.body); },
                        [](const error&) { return Json::Value(Json::objectValue); });
    const shard_key_range keys{body["from"].asUInt(), body["to"].asUInt()};
    const std::uint64_t epoch = body["fence"].asUInt64();
    const bool is_grant = request.target == "/camphorrock/grant";
    const bool is_stale = std::any_of(
        seen_.begin(),
        seen_.end(),
        [&](const held_keys& it) { return overlap(it.keys, keys) && it.epoch > epoch; });
    http_response made;
    if (is_stale)
    {
        made.status = is_grant ? http_status::conflict : http_status::ok;
        return made;
    }
    seen_.push_back({keys, epoch, {}});
    std::vector<held_keys> kept;
    for (const held_keys& it : held_)
    {
        if (!overlap(it.keys, keys))
        {
            kept.push_back(it);
            continue;
        }
        if (it.keys.first < keys.first)
        {
            kept.push_back({{it.keys.first, keys.first - 1}, it.epoch, it.until});
        }
        if (it.keys.last > keys.last)
        {
            kept.push_back({{keys.last + 1, it.keys.last}, it.epoch, it.until});
        }
    }
    held_ = kept;
    if (is_grant)
    {
        const std::string text = body["hold_time"].asString();
        const auto ms = parse_number<unsigned>(text.substr(0, text.find("ms")));
        held_.push_back({keys, epoch, arrived + milliseconds(ms.value_or(0))});
    }
    else
    {
        made.headers.add("Handover", "state-of-" + options_.id);
    }
    return made;
}

} // namespace camphorrock::fakes
