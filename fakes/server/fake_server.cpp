#include "fakes/server/fake_server.hpp"

#include "app/admin_server.hpp"
#include "app/query.hpp"
#include "codec/history_json.hpp"
#include "codec/server_answer.hpp"
#include "fakes/server/server_refusal.hpp"
#include "net/http_status.hpp"

#include <unistd.h>

#include <charconv>

namespace camphorrock
{
namespace
{

constexpr const char* epoch_header = "Camphorrock-Epoch";
constexpr const char* timeout_header = "Camphorrock-Timeout-Ms";
constexpr const char* id_header = "Idempotency-Key";
constexpr const char* attempt_header = "X-Attempt";

history_time to_history(time_point at)
{
    return static_cast<history_time>(at.time_since_epoch().count());
}

std::uint64_t header_number(const http_request& request, const char* name)
{
    std::string_view text = request.headers.find(name).value_or("");
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string query_text(const http_request& request, const char* name)
{
    return std::string(query_value(request.target, name).value_or(""));
}

bool matches(const http_request& request, const char* method, const char* path)
{
    return request.method == method && path_of(request) == path;
}

} // namespace

fake_server::fake_server(event_loop& loop,
                         server_options options,
                         line_file& history,
                         event_log& log)
    : loop_(loop), options_(std::move(options)), history_(history),
      grants_(loop, options_.id, history, log),
      service_times_(options_.times, options_.seed, loop.now()),
      queue_(options_.slots, options_.max_queued),
      run_id_prefix_(options_.id.str() + ":" + std::to_string(::getpid()) + ":" +
                     std::to_string(to_history(loop.now())) + ":")
{
    grants_.add_methods(rpc_);
}

void fake_server::handle(http_request request, std::shared_ptr<http_responder> responder)
{
    if (matches(request, "POST", "/rpc"))
    {
        answer_rpc(request, *responder);
        return;
    }
    if (matches(request, "GET", "/healthz"))
    {
        responder->respond(make_text_response(http_status::ok, "ok\n"));
        return;
    }
    admit(request, std::move(responder));
}

void fake_server::drain()
{
    is_draining_ = true;
}

void fake_server::answer_rpc(const http_request& request, http_responder& responder)
{
    responder.respond(make_json_response(http_status::ok, rpc_.dispatch(request.body)));
}

void fake_server::admit(const http_request& request,
                        std::shared_ptr<http_responder> responder)
{
    std::optional<request_target> target = parse_request_target(request.target);
    if (!target)
    {
        responder->respond(to_response(server_refusal::bad_request, request.target));
        return;
    }
    work_item item;
    item.target = *target;
    item.since = {header_number(request, epoch_header)};
    item.id = request_id(std::string(request.headers.find(id_header).value_or("")));
    item.tag = query_text(request, "tag");
    item.attempt = std::string(request.headers.find(attempt_header).value_or(""));
    item.work = query_value(request.target, "work") == "long" ? work_class::long_work
                                                              : work_class::short_work;
    if (std::uint64_t timeout = header_number(request, timeout_header))
    {
        item.deadline = loop_.now() + milliseconds(timeout);
    }
    if (!is_owned(item))
    {
        responder->respond(to_response(server_refusal::not_owner, "not the owner"));
        return;
    }
    if (is_draining_ ||
        service_times_.draw_with_probability(options_.behaviour.shed_share))
    {
        server_refusal reason =
            is_draining_ ? server_refusal::draining : server_refusal::overloaded;
        responder->respond(to_response(reason, "takes no new work"));
        return;
    }
    slot_ticket ticket{++last_ticket_};
    slot_admission admission = queue_.admit(ticket);
    if (admission == slot_admission::full)
    {
        responder->respond(to_response(server_refusal::overloaded, "the queue is full"));
        return;
    }
    responder->on_disconnect([this, ticket] { on_caller_disconnected(ticket); });
    item.responder = std::move(responder);
    items_.emplace(ticket, std::move(item));
    if (admission == slot_admission::run)
    {
        start_run(ticket);
    }
}

bool fake_server::is_owned(const work_item& item)
{
    if (!options_.checks_epoch)
    {
        return true;
    }
    // A service has one shard, of the same name.
    shard_id shard(item.target.service.str());
    return grants_.check(shard, item.target.hash, item.since) == guard_verdict::accepted;
}

// Requires that the request has a slot. Checks the grant and the deadline again right
// before the effect, since the request may have been queued.
void fake_server::start_run(slot_ticket ticket)
{
    work_item& item = items_.at(ticket);
    time_point now = loop_.now();
    bool is_late = item.deadline && *item.deadline <= now;
    if (is_late || !is_owned(item))
    {
        server_refusal reason =
            is_late ? server_refusal::deadline_passed : server_refusal::not_owner;
        item.responder->respond(to_response(reason, "not run"));
        items_.erase(ticket);
        queue_.release();
        start_next_run();
        return;
    }
    item.run_id = run_id_prefix_ + std::to_string(ticket.value);
    record_start(item);
    duration taken = std::chrono::duration_cast<duration>(
        service_times_.draw(item.work, now) * options_.behaviour.slow_factor);
    item.timer = loop_.after(taken, [this, ticket] { finish_run(ticket); });
}

void fake_server::start_next_run()
{
    // Posted, so that a series of requests past their deadline does not recurse.
    loop_.post(
        [this]
        {
            if (std::optional<slot_ticket> next = queue_.take_next())
            {
                start_run(*next);
            }
        });
}

void fake_server::finish_run(slot_ticket ticket)
{
    auto it = items_.find(ticket);
    work_item item = std::move(it->second);
    items_.erase(it);
    record_end(item);
    bool is_failed = service_times_.draw_with_probability(options_.behaviour.fail_share);
    item.responder->respond(
        make_answer(item, is_failed ? http_status::server_error : http_status::ok));
    queue_.release();
    start_next_run();
}

// A queued request is dropped and never runs; a running one frees its slot.
void fake_server::on_caller_disconnected(slot_ticket ticket)
{
    auto it = items_.find(ticket);
    if (it == items_.end())
    {
        return;
    }
    work_item item = std::move(it->second);
    items_.erase(it);
    if (item.run_id.empty())
    {
        queue_.remove(ticket);
        return;
    }
    record_end(item);
    queue_.release();
    start_next_run();
}

void fake_server::record_start(const work_item& item)
{
    run_start_record record;
    record.at = to_history(loop_.now());
    record.run = item.run_id;
    record.server = options_.id;
    record.service = item.target.service;
    record.key = item.target.key;
    record.hash = item.target.hash;
    record.since = item.since;
    record.checks_epoch = options_.checks_epoch;
    record.id = item.id;
    record.tag = item.tag;
    record.attempt = item.attempt;
    history_.append(write_history_line(record));
}

void fake_server::record_end(const work_item& item)
{
    history_.append(write_history_line(
        run_end_record{to_history(loop_.now()), item.run_id, options_.id}));
}

http_response fake_server::make_answer(const work_item& item, int status) const
{
    server_answer body;
    body.run = item.run_id;
    body.server = options_.id;
    body.service = item.target.service;
    body.key = item.target.key;
    body.since = item.since;
    body.id = item.id;
    body.tag = item.tag;
    body.attempt = item.attempt;
    body.padding_bytes = options_.answer_bytes;
    http_response answer = make_json_response(status, write_server_answer(body));
    answer.headers.add("Camphorrock-Outcome", "ran");
    return answer;
}

} // namespace camphorrock
