#include "store/etcd_caller.hpp"

#include "codec/json_text.hpp"
#include "net/http_status.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

// Translates an HTTP answer. After a server error (5xx) a write may have taken effect.
call_answer read_answer(const http_response& answer, etcd_call_kind kind)
{
    call_answer made;
    if (answer.status == http_status::ok)
    {
        result<Json::Value> body = parse_json(answer.body);
        made.end = body ? call_end::answered : call_end::no_answer;
        if (body)
        {
            made.body = std::move(*body);
        }
        return made;
    }
    const bool is_refusal =
        answer.status >= first_client_error && answer.status < first_server_error;
    made.end = is_refusal || kind == etcd_call_kind::read ? call_end::refused
                                                          : call_end::no_answer;
    return made;
}

} // namespace

struct etcd_caller::pending_call
{
    http_request request;
    etcd_call_kind kind;
    callback done;
    time_point deadline;
    std::size_t attempts_left; // including the one in flight
    bool is_retry;
};

etcd_caller::etcd_caller(event_loop& loop,
                         http_client& http,
                         store_client_options options)
    : loop_(loop), http_(http), options_(std::move(options))
{
}

void etcd_caller::call(const char* target,
                       const Json::Value& body,
                       etcd_call_kind kind,
                       callback done)
{
    // A read gets one attempt more than there are endpoints, in case the first one uses a
    // kept connection that is dead.
    const std::size_t extra_attempts = kind == etcd_call_kind::read ? 1 : 0;
    send(std::make_shared<pending_call>(
        pending_call{make_request(target, body),
                     kind,
                     std::move(done),
                     loop_.now() + options_.call_timeout,
                     options_.endpoints.size() + extra_attempts,
                     false}));
}

http_request etcd_caller::make_request(const char* target, const Json::Value& body) const
{
    http_request made;
    made.method = "POST";
    made.target = target;
    made.headers.add("Content-Type", "application/json");
    made.body = write_json(body);
    return made;
}

const endpoint& etcd_caller::current_endpoint() const
{
    return options_.endpoints[current_];
}

void etcd_caller::fail_over()
{
    http_.drop_connections(current_endpoint());
    current_ = (current_ + 1) % options_.endpoints.size();
    has_answered_ = false;
}

bool etcd_caller::has_answered_recently() const
{
    return has_answered_ && loop_.now() - last_answer_at_ <= options_.liveness_window;
}

void etcd_caller::send(const std::shared_ptr<pending_call>& it)
{
    const duration remaining = it->deadline - loop_.now();
    const bool is_read = it->kind == etcd_call_kind::read;
    exchange_options options;
    options.timeout =
        is_read ? remaining / static_cast<int>(it->attempts_left) : remaining;
    options.connect_timeout = std::min(options.connect_timeout, options.timeout);
    if (it->is_retry || (!is_read && !has_answered_recently()))
    {
        options.connection = connection_choice::fresh;
    }
    http_.send(current_endpoint(),
               it->request,
               options,
               [weak = weak_from_this(), it](const exchange_result& got)
               {
                   if (const std::shared_ptr<etcd_caller> self = weak.lock())
                   {
                       self->on_end(it, got);
                   }
               });
}

void etcd_caller::on_end(const std::shared_ptr<pending_call>& it,
                         const exchange_result& got)
{
    if (got.end == exchange_end::answered)
    {
        last_answer_at_ = loop_.now();
        has_answered_ = true;
        it->done(read_answer(got.answer, it->kind));
        return;
    }
    fail_over();
    --it->attempts_left;
    it->is_retry = true;
    const bool may_repeat = it->kind == etcd_call_kind::read || is_unsent(got.end);
    if (may_repeat && it->attempts_left > 0 && loop_.now() < it->deadline)
    {
        send(it);
        return;
    }
    call_answer made;
    made.end = is_unsent(got.end) ? call_end::not_sent : call_end::no_answer;
    it->done(made);
}

} // namespace camphorrock
