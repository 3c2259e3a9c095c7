#include "fakes/site/site_store.hpp"

#include "app/query.hpp"
#include "codec/json_text.hpp"
#include "core/base/number_text.hpp"
#include "net/http_status.hpp"
#include "store/base64.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock::fakes
{
namespace
{

constexpr duration tick_period = milliseconds(5);
constexpr const char* lease_renew_prefix = "/camphorrock/kv-keep/";
constexpr const char* lease_end_prefix = "/camphorrock/kv-lease-end/";

kv_range prefix_range(const std::string& prefix)
{
    if (prefix.empty())
    {
        return {"", std::string(1, '\0')};
    }
    std::string end = prefix;
    ++end.back();
    return {prefix, end};
}

http_response json_response(int status, const Json::Value& body)
{
    http_response made;
    made.status = status;
    made.headers.add("Content-Type", "application/json");
    made.body = write_json(body);
    return made;
}

http_response make_status_response(int status)
{
    return json_response(status, Json::Value(Json::objectValue));
}

Json::Value parse_body(const http_request& request)
{
    return value_or_handle([&] { return parse_json(request.body); },
                           [](const error&) { return Json::Value(Json::objectValue); });
}

bool is_reserved(const std::string& key)
{
    return key.starts_with("op/") || key.starts_with("servers/");
}

std::string path_of_target(const http_request& request)
{
    return request.target.substr(0, request.target.find('?'));
}

std::string query_text(const http_request& request, std::string_view name)
{
    return std::string(query_value(request.target, name).value_or(""));
}

bool is_write(const http_request& request)
{
    return request.method != "GET";
}

} // namespace

site_store::site_store(event_loop& loop, site_store_options options)
    : loop_(loop), options_(options), kv_(options.kv), era_(options.era)
{
    tick_timer_ = loop_.every(tick_period,
                              [this]
                              {
                                  kv_.expire_leases(loop_.now());
                                  answer_polls();
                              });
}

void site_store::put(const std::string& key, const std::string& value)
{
    kv_transaction transaction;
    transaction.on_success.push_back({kv_operation_type::put, {key, ""}, value, 0});
    kv_.run(transaction);
}

void site_store::erase(const std::string& key)
{
    kv_transaction transaction;
    transaction.on_success.push_back({kv_operation_type::deletion, {key, ""}, "", 0});
    kv_.run(transaction);
}

std::optional<std::string> site_store::find(const std::string& key) const
{
    const std::vector<kv_entry> found = kv_.range({key, ""});
    return found.empty() ? std::nullopt : std::optional(found.front().value);
}

void site_store::set_mode(site_store_mode mode)
{
    mode_ = mode;
    if (mode_ == site_store_mode::serving)
    {
        return;
    }
    // Pending polls lose their answers too.
    for (poll& it : polls_)
    {
        unanswered_responders_.push_back(std::move(it.responder));
    }
    polls_.clear();
}

void site_store::compact()
{
    drop_history();
    polls_.clear();
}

void site_store::drop_history()
{
    compact_revision_ = kv_.revision();
}

void site_store::keep_copy()
{
    copy_ = kv_;
}

void site_store::restore()
{
    kv_ = *copy_;
    kv_.renew_all_leases(loop_.now());
    ++era_;
    polls_.clear();
}

void site_store::respond(http_responder& to, http_response answer) const
{
    if (era_ > 0)
    {
        answer.headers.add("Store-Era", std::to_string(era_));
    }
    to.respond(std::move(answer));
}

void site_store::revoke_all_leases()
{
    for (std::uint64_t it : std::exchange(leases_, {}))
    {
        kv_.revoke_lease(it);
    }
}

void site_store::handle(http_request request, std::shared_ptr<http_responder> responder)
{
    ++calls_;
    switch (mode_)
    {
    case site_store_mode::unresponsive:
        unanswered_responders_.push_back(std::move(responder));
        return;
    case site_store_mode::busy:
        respond(*responder, make_status_response(http_status::unavailable));
        return;
    case site_store_mode::rejects:
        respond(*responder, make_status_response(http_status::too_many_requests));
        return;
    case site_store_mode::resets:
        responder->abort();
        return;
    case site_store_mode::loses_answers:
        if (is_write(request))
        {
            execute(request);
            responder->abort();
            return;
        }
        break;
    case site_store_mode::delays_writes:
        if (is_write(request))
        {
            delayed_write_timers_.push_back(
                loop_.after(options_.write_delay, [this, request] { execute(request); }));
            responder->abort();
            return;
        }
        break;
    case site_store_mode::serving:
        break;
    }
    if (path_of_target(request) == "/camphorrock/kv-watch")
    {
        start_poll(request, std::move(responder));
        return;
    }
    respond(*responder, execute(request));
}

http_response site_store::execute(const http_request& request)
{
    const std::string path = path_of_target(request);
    if (path == "/camphorrock/kv-key")
    {
        return get_key(request);
    }
    if (path == "/camphorrock/kv-range")
    {
        return get_range(request);
    }
    if (path == "/camphorrock/kv-txn")
    {
        return run_transaction(request);
    }
    return handle_lease(request);
}

Json::Value site_store::make_item(const kv_entry& entry) const
{
    Json::Value made(Json::objectValue);
    made["key"] = entry.key;
    made["value"] = to_base64(entry.value);
    made["revision"] = Json::UInt64(entry.mod_revision);
    made["created_at"] = Json::UInt64(entry.create_revision);
    made["lease"] = Json::UInt64(entry.lease);
    return made;
}

http_response site_store::get_key(const http_request& request) const
{
    const std::vector<kv_entry> found = kv_.range({query_text(request, "key"), ""});
    if (found.empty())
    {
        return make_status_response(http_status::not_found);
    }
    Json::Value body = make_item(found.front());
    body["store_revision"] = Json::UInt64(kv_.revision());
    return json_response(http_status::ok, body);
}

http_response site_store::get_range(const http_request& request) const
{
    const std::string after = query_text(request, "after");
    Json::Value body(Json::objectValue);
    body["items"] = Json::Value(Json::arrayValue);
    body["has_more"] = false;
    std::size_t bytes = 0;
    for (const kv_entry& it : kv_.range(prefix_range(query_text(request, "prefix"))))
    {
        if (!after.empty() && it.key <= after)
        {
            continue;
        }
        if (body["items"].size() >= options_.page_items || bytes >= options_.page_bytes)
        {
            body["has_more"] = true;
            break;
        }
        bytes += it.value.size();
        body["items"].append(make_item(it));
    }
    body["store_revision"] = Json::UInt64(kv_.revision());
    return json_response(http_status::ok, body);
}

http_response site_store::run_transaction(const http_request& request)
{
    const Json::Value body = parse_body(request);
    kv_transaction transaction;
    for (const Json::Value& it : body["expect"])
    {
        transaction.compares.push_back({it["key"].asString(),
                                        kv_compare_target::mod_revision,
                                        it["revision"].asUInt64()});
        transaction.on_failure.push_back(
            {kv_operation_type::range, {it["key"].asString(), ""}, "", 0});
    }
    for (const Json::Value& it : body["set_keys"])
    {
        const std::string key = it["key"].asString();
        if (is_reserved(key))
        {
            return make_status_response(403);
        }
        transaction.on_success.push_back(
            {kv_operation_type::put,
             {key, ""},
             parse_base64(it["value"].asString()).value_or(""),
             it["lease"].asUInt64()});
    }
    for (const Json::Value& it : body["delete_keys"])
    {
        transaction.on_success.push_back(
            {kv_operation_type::deletion, {it.asString(), ""}, "", 0});
    }
    const kv_transaction_result got = kv_.run(transaction);
    Json::Value answer(Json::objectValue);
    if (got.is_lease_missing)
    {
        return make_status_response(http_status::not_found);
    }
    if (got.succeeded)
    {
        answer["revision"] = Json::UInt64(got.revision);
        return json_response(http_status::ok, answer);
    }
    answer["items"] = Json::Value(Json::arrayValue);
    for (const kv_operation_result& it : got.results)
    {
        for (const kv_entry& entry : it.entries)
        {
            answer["items"].append(make_item(entry));
        }
    }
    return json_response(http_status::precondition_failed, answer);
}

http_response site_store::handle_lease(const http_request& request)
{
    const std::string path = path_of_target(request);
    Json::Value answer(Json::objectValue);
    if (path == "/camphorrock/kv-lease")
    {
        const std::string text = parse_body(request)["ttl_time"].asString();
        const auto ms = parse_number<unsigned>(text.substr(0, text.find("ms")));
        const duration ttl = milliseconds(ms.value_or(1000));
        leases_.push_back(kv_.grant_lease(ttl, loop_.now()));
        answer["lease"] = Json::UInt64(leases_.back());
        answer["ttl_time"] = text;
        return json_response(http_status::ok, answer);
    }
    const bool is_renewal = path.starts_with(lease_renew_prefix);
    const std::string prefix = is_renewal ? lease_renew_prefix : lease_end_prefix;
    const auto id = parse_number<std::uint64_t>(
        std::string_view(path).substr(std::min(path.size(), prefix.size())));
    if (!id || !path.starts_with(prefix))
    {
        return make_status_response(http_status::not_found);
    }
    const std::optional<duration> time_left =
        is_renewal ? kv_.keep_alive(*id, loop_.now()) : std::nullopt;
    const bool is_ended = !is_renewal && kv_.revoke_lease(*id);
    if (!time_left && !is_ended)
    {
        return make_status_response(http_status::not_found);
    }
    const auto ms =
        std::chrono::duration_cast<milliseconds>(time_left.value_or(duration::zero()));
    answer["ttl_time"] = std::to_string(ms.count()) + "ms";
    return json_response(http_status::ok, answer);
}

void site_store::start_poll(const http_request& request,
                            std::shared_ptr<http_responder> responder)
{
    poll made;
    made.prefix = query_text(request, "prefix");
    made.after_revision =
        parse_number<std::uint64_t>(query_text(request, "after")).value_or(0);
    const auto wait = parse_number<unsigned>(query_text(request, "wait_ms"));
    made.deadline = loop_.now() + milliseconds(wait.value_or(0));
    const bool is_unknown = made.after_revision > kv_.revision();
    if (made.after_revision < compact_revision_ || is_unknown)
    {
        respond(*responder, make_status_response(http_status::gone));
        return;
    }
    made.responder = std::move(responder);
    polls_.push_back(std::move(made));
    answer_polls();
}

bool site_store::answer_poll(poll& it)
{
    const std::uint64_t after = std::max(it.after_revision, compact_revision_);
    const std::optional<std::vector<kv_event>> events =
        kv_.events_since(after + 1, prefix_range(it.prefix));
    if (events && events->empty() && loop_.now() < it.deadline)
    {
        return false;
    }
    if (!events || it.after_revision < compact_revision_)
    {
        respond(*it.responder, make_status_response(http_status::gone));
        return true;
    }
    Json::Value body(Json::objectValue);
    body["events"] = Json::Value(Json::arrayValue);
    for (const kv_event& event : *events)
    {
        Json::Value row = make_item(event.entry);
        if (event.type == kv_event_type::deletion)
        {
            row = Json::Value(Json::objectValue);
            row["key"] = event.entry.key;
            row["revision"] = Json::UInt64(event.entry.mod_revision);
            row["deleted"] = true;
        }
        body["events"].append(row);
    }
    body["store_revision"] = Json::UInt64(kv_.revision());
    respond(*it.responder, json_response(http_status::ok, body));
    return true;
}

void site_store::answer_polls()
{
    if (are_polls_held_)
    {
        return;
    }
    for (auto it = polls_.begin(); it != polls_.end();)
    {
        it = answer_poll(*it) ? polls_.erase(it) : std::next(it);
    }
}

} // namespace camphorrock::fakes
