#include "fakes/platform/platform_service.hpp"

#include "app/admin_server.hpp"
#include "codec/json_text.hpp"
#include "fakes/platform/kv_json.hpp"
#include "net/http_status.hpp"
#include "store/etcd_json.hpp"
#include "store/instance_json.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace camphorrock::fakes
{
namespace
{

constexpr milliseconds tick_period(20); // bounds how late a lease ends
constexpr std::string_view list_prefix = "/instances/";
constexpr std::uint64_t max_ttl_s = 1000000000;

// gRPC's status codes, which the protocol's errors carry.
constexpr int grpc_invalid_argument = 3;
constexpr int grpc_not_found = 5;
constexpr int grpc_resource_exhausted = 8;

http_response to_json_response(int status, const Json::Value& value)
{
    return make_json_response(status, write_json(value));
}

http_response bad_request()
{
    return to_json_response(
        http_status::bad_request,
        make_error(grpc_invalid_argument, "the request cannot be read"));
}

http_response lease_not_found()
{
    return to_json_response(
        http_status::not_found,
        make_error(grpc_not_found, "etcdserver: requested lease not found"));
}

http_response too_many_requests()
{
    http_response made = to_json_response(
        http_status::too_many_requests,
        make_error(grpc_resource_exhausted, "etcdserver: too many requests"));
    made.headers.add("Retry-After", "1");
    return made;
}

std::optional<std::uint64_t> read_lease_id(const Json::Value& body)
{
    return body.isObject() ? read_uint64(body, "ID") : std::nullopt;
}

} // namespace

platform_service::platform_service(event_loop& loop, platform_options options)
    : loop_(loop), kv_(options.kv), watches_(kv_), list_(options.list_lag),
      write_limit_(options.writes_per_second), read_limit_(options.reads_per_second),
      random_(options.seed)
{
    faults_.list_lag = options.list_lag;
    tick_timer_ = loop_.every(tick_period, [this] { on_tick(); });
}

void platform_service::on_tick()
{
    if (!faults_.is_in_outage)
    {
        kv_.expire_leases(loop_.now());
        watches_.send_changes();
    }
}

void platform_service::handle(http_request request,
                              std::shared_ptr<http_responder> responder)
{
    const std::optional<call_kind> kind = kind_of(request);
    if (!kind)
    {
        responder->respond(to_json_response(http_status::not_found,
                                            make_error(grpc_not_found, "no such path")));
        return;
    }
    auto it =
        std::make_shared<call>(call{*kind, std::move(request), std::move(responder)});
    if (!admit(*it))
    {
        return;
    }
    if (faults_.delay == duration::zero())
    {
        execute_now(it);
        return;
    }
    run_after(faults_.delay / 2, [this, it] { execute_delayed(it); });
}

// Counts the call. If an outage, the rate limit or a lost request keeps it from taking
// effect, ends it and returns false.
bool platform_service::admit(const call& it)
{
    const time_point now = loop_.now();
    stats_.count(it.kind, now);
    if (faults_.is_in_outage)
    {
        ++stats_.cut_off;
        it.responder->abort();
        return false;
    }
    rate_limit& limit = is_write(it.kind) ? write_limit_ : read_limit_;
    if (!limit.admit(now))
    {
        ++stats_.refused;
        it.responder->respond(too_many_requests());
        return false;
    }
    if (is_write(it.kind) && faults_.request_loss.draw(random_))
    {
        ++stats_.lost_requests;
        it.responder->abort();
        return false;
    }
    return true;
}

void platform_service::run_after(duration time, event_loop::callback task)
{
    const std::uint64_t id = ++last_delay_id_;
    delay_timers_[id] = loop_.after(time,
                                    [this, id, task = std::move(task)]
                                    {
                                        const timer_handle self =
                                            std::move(delay_timers_[id]);
                                        delay_timers_.erase(id);
                                        task();
                                    });
}

// Called after the first half of the delay. Executes the call, and answers it after the
// second half.
void platform_service::execute_delayed(const std::shared_ptr<call>& it)
{
    if (faults_.is_in_outage)
    {
        ++stats_.cut_off;
        it->responder->abort();
        return;
    }
    if (it->kind == call_kind::watch)
    {
        start_watch(*it);
        return;
    }
    run_after(faults_.delay / 2,
              [this, it, response = execute(*it)] { reply(*it, response); });
}

void platform_service::execute_now(const std::shared_ptr<call>& it)
{
    if (it->kind == call_kind::watch)
    {
        start_watch(*it);
        return;
    }
    reply(*it, execute(*it));
}

void platform_service::reply(call& it, http_response response)
{
    if (is_write(it.kind) && faults_.reply_loss.draw(random_))
    {
        ++stats_.lost_replies;
        it.responder->abort();
        return;
    }
    it.responder->respond(std::move(response));
}

http_response platform_service::execute(const call& it)
{
    kv_.expire_leases(loop_.now());
    http_response made;
    if (it.kind == call_kind::list_read)
    {
        made = read_list();
    }
    else if (it.kind == call_kind::list_write)
    {
        made = write_list(it.request);
    }
    else
    {
        const result<Json::Value> body = parse_json(it.request.body);
        made = body ? execute_store_call(it.kind, *body) : bad_request();
    }
    watches_.send_changes();
    return made;
}

http_response platform_service::execute_store_call(call_kind kind,
                                                   const Json::Value& body)
{
    switch (kind)
    {
    case call_kind::range:
        return run_range(body);
    case call_kind::txn:
        return run_transaction(body);
    case call_kind::lease_grant:
        return grant_lease(body);
    case call_kind::lease_keepalive:
        return keep_alive(body);
    case call_kind::lease_revoke:
        return revoke_lease(body);
    default:
        return bad_request();
    }
}

http_response platform_service::run_range(const Json::Value& body) const
{
    const std::optional<kv_range> keys = read_range_request(body);
    const std::optional<std::uint64_t> limit = read_uint64(body, "limit");
    if (!keys || !limit)
    {
        return bad_request();
    }
    std::vector<kv_entry> found = kv_.range(*keys);
    const bool has_more = *limit != 0 && found.size() > *limit;
    if (has_more)
    {
        found.resize(*limit);
    }
    Json::Value answer = make_range_answer(found, kv_.revision());
    if (has_more)
    {
        answer["more"] = true;
    }
    return to_json_response(http_status::ok, answer);
}

http_response platform_service::run_transaction(const Json::Value& body)
{
    const std::optional<kv_transaction> transaction = read_transaction(body);
    if (!transaction)
    {
        return bad_request();
    }
    const kv_transaction_result got = kv_.run(*transaction);
    return got.is_lease_missing
               ? lease_not_found()
               : to_json_response(http_status::ok, make_transaction_answer(got));
}

http_response platform_service::grant_lease(const Json::Value& body)
{
    const std::optional<std::uint64_t> ttl =
        body.isObject() ? read_uint64(body, "TTL") : std::nullopt;
    if (!ttl || *ttl == 0 || *ttl > max_ttl_s)
    {
        return bad_request();
    }
    const std::uint64_t id = kv_.grant_lease(seconds(*ttl), loop_.now());
    return to_json_response(http_status::ok, make_lease_answer(id, *ttl, kv_.revision()));
}

// The protocol answers with one message of a stream. For a lease that does not exist, the
// message has a TTL of 0.
http_response platform_service::keep_alive(const Json::Value& body)
{
    const std::optional<std::uint64_t> id = read_lease_id(body);
    if (!id)
    {
        return bad_request();
    }
    const std::optional<duration> ttl = kv_.keep_alive(*id, loop_.now());
    const auto ttl_s = static_cast<std::uint64_t>(
        std::chrono::duration_cast<seconds>(ttl.value_or(duration::zero())).count());
    Json::Value made(Json::objectValue);
    made["result"] = make_lease_answer(*id, ttl_s, kv_.revision());
    http_response answer = to_json_response(http_status::ok, made);
    answer.body += "\n";
    return answer;
}

http_response platform_service::revoke_lease(const Json::Value& body)
{
    const std::optional<std::uint64_t> id = read_lease_id(body);
    if (!id)
    {
        return bad_request();
    }
    return kv_.revoke_lease(*id)
               ? to_json_response(http_status::ok, make_header(kv_.revision()))
               : lease_not_found();
}

http_response platform_service::read_list()
{
    Json::Value made(Json::arrayValue);
    for (const instance_entry& it : list_.read(loop_.now()))
    {
        made.append(to_json(it));
    }
    return to_json_response(http_status::ok, made);
}

http_response platform_service::write_list(const http_request& request)
{
    const instance_id id(request.target.substr(list_prefix.size()));
    if (request.method == "DELETE")
    {
        list_.leave(id, loop_.now());
        return to_json_response(http_status::ok, Json::Value(Json::objectValue));
    }
    const result<Json::Value> body = parse_json(request.body);
    std::optional<instance_entry> entry =
        body ? read_instance(*body) : std::optional<instance_entry>();
    if (!entry || entry->id != id)
    {
        return bad_request();
    }
    list_.enter(std::move(*entry), loop_.now());
    return to_json_response(http_status::ok, Json::Value(Json::objectValue));
}

void platform_service::start_watch(call& it)
{
    const result<Json::Value> body = parse_json(it.request.body);
    const std::optional<watch_request> wanted =
        body ? read_watch_request(*body) : std::optional<watch_request>();
    if (!wanted)
    {
        it.responder->respond(bad_request());
        return;
    }
    watches_.add(*wanted, std::move(it.responder));
}

result<void> platform_service::set_faults(const Json::Value& body)
{
    const bool was_in_outage = faults_.is_in_outage;
    BOOST_LEAF_CHECK(change_faults(faults_, body));
    list_.set_lag(*faults_.list_lag);
    if (!was_in_outage && faults_.is_in_outage)
    {
        watches_.abort_all();
    }
    if (was_in_outage && !faults_.is_in_outage)
    {
        kv_.renew_all_leases(loop_.now());
    }
    return {};
}

Json::Value platform_service::faults() const
{
    return to_json(faults_);
}

Json::Value platform_service::stats()
{
    Json::Value made = stats_.to_json(loop_.now());
    made["watches"] = Json::UInt64{watches_.size()};
    made["leases"] = Json::UInt64{kv_.lease_count()};
    made["revision"] = Json::UInt64{kv_.revision()};
    return made;
}

} // namespace camphorrock::fakes
