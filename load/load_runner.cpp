#include "load/load_runner.hpp"

#include "codec/history_json.hpp"
#include "codec/json_text.hpp"
#include "codec/server_answer.hpp"
#include "core/base/outcome.hpp"
#include "load/history_clock.hpp"

#include <json/value.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr const char* outcome_header = "Camphorrock-Outcome";
constexpr const char* probe_caller = "probe";
constexpr unsigned status_ok = 200;

// A caller that retries at once still needs this long.
constexpr duration least_delay = milliseconds(1);

std::string header_text(const http_response& answer, const char* name)
{
    return std::string(answer.headers.find(name).value_or(""));
}

duration retry_after(const http_response& answer)
{
    std::string text = header_text(answer, "Retry-After");
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return seconds(value);
}

std::optional<outcome> told(const attempt_record& record)
{
    return parse_outcome(record.outcome);
}

std::string class_name(bool is_write, bool is_long)
{
    return std::string(is_write ? "write" : "read") + (is_long ? "-long" : "-short");
}

// The type of an RFC 9457 problem; "other" where the body is none.
std::string problem_type(const http_response& answer)
{
    return value_or_handle(
        [&]() -> result<std::string>
        {
            BOOST_LEAF_AUTO(body, parse_json(answer.body));
            bool is_problem = body.isObject() && body["type"].isString();
            return is_problem ? body["type"].asString() : std::string("other");
        },
        [](const error&) { return std::string("other"); });
}

// Fills in what the answer says.
void read_answer(const exchange_result& got, attempt_record& record)
{
    record.ended = std::string(name_of(got.end));
    if (got.end != exchange_end::answered)
    {
        return;
    }
    record.status = static_cast<unsigned>(got.answer.status);
    record.outcome = header_text(got.answer, outcome_header);
    if (std::optional<server_answer> body = read_server_answer(got.answer.body))
    {
        record.answer_run = body->run;
        record.answer_key = body->key;
        record.answer_tag = body->tag;
        record.answer_id = body->id;
        record.is_answer_complete = true;
    }
    else
    {
        record.problem = problem_type(got.answer);
    }
}

} // namespace

load_runner::load_runner(event_loop& loop,
                         http_client& http,
                         line_file& history,
                         const load_settings& settings)
    : loop_(loop), http_(http), history_(history), settings_(settings),
      random_(settings.seed), routers_(settings.routers, settings.eject_time),
      started_(loop.now())
{
    run_prefix_ = std::to_string(settings.seed) + "-" + std::to_string(getpid()) + "-" +
                  std::to_string(to_history(started_)) + "-";
}

void load_runner::start(std::function<void()> done)
{
    done_ = std::move(done);
    for (const caller_settings& it : settings_.callers)
    {
        callers_.push_back(std::make_unique<caller_state>(
            caller_state{&it,
                         arrival_process(it.rates),
                         key_popularity(it.keys),
                         router_choice(it.routers, settings_.eject_time),
                         duration(0),
                         {}}));
        plan_arrival(*callers_.back());
    }
    for (const probe_settings& it : settings_.probes)
    {
        start_probes(it);
    }
    end_timer_ = loop_.after(settings_.length, [this] { stop_arrivals(); });
}

void load_runner::finish_early()
{
    if (is_arriving_)
    {
        stop_arrivals();
    }
}

void load_runner::plan_arrival(caller_state& caller)
{
    std::optional<duration> next = caller.arrivals.next(random_);
    if (!next || *next >= settings_.length)
    {
        caller.timer.reset();
        return;
    }
    caller.next = *next;
    duration delay = std::max(started_ + *next - loop_.now(), duration(0));
    caller.timer = loop_.after(delay, [this, &caller] { arrive(caller); });
}

void load_runner::arrive(caller_state& caller)
{
    if (open_ >= settings_.max_in_flight)
    {
        report_.count_skipped();
    }
    else
    {
        send_all(make_request(caller));
    }
    plan_arrival(caller);
}

load_runner::request_ptr load_runner::make_request(caller_state& caller)
{
    const caller_settings& from = *caller.settings;
    auto request = std::make_shared<load_request>();
    bool is_write = chance(from.write_share);
    request->is_long = chance(from.long_share);
    request->row = {from.name, class_name(is_write, request->is_long)};
    request->routers = from.routers.empty() ? &routers_ : &caller.own_routers;
    request->service = from.service;
    request->key = caller.keys.draw(random_, caller.next);
    request->tag = run_prefix_ + std::to_string(++last_request_);
    request->id = is_write ? request_id("id-" + request->tag) : request_id();
    request->timeout = from.timeout;
    request->retry = from.retry;
    request->duplicates = from.duplicates;
    request->arrived = started_ + caller.next;
    return request;
}

// The keys' probes are spread over the period.
void load_runner::start_probes(const probe_settings& probe)
{
    for (std::uint64_t n = 0; n < probe.keys; ++n)
    {
        duration offset = probe.period * n / probe.keys;
        std::size_t place = probe_timers_.size();
        auto begin = [this, &probe, place, key = key_text(n)]
        {
            probe_timers_[place] = loop_.every(
                probe.period, [this, &probe, key] { send_probe(probe, key); });
        };
        probe_timers_.push_back(loop_.after(offset, begin));
    }
}

void load_runner::send_probe(const probe_settings& probe, const std::string& key)
{
    auto request = std::make_shared<load_request>();
    request->is_probe = true;
    request->routers = &routers_;
    request->row = {probe_caller, class_name(false, false)};
    request->service = probe.service;
    request->key = key;
    request->tag = run_prefix_ + std::to_string(++last_request_);
    request->timeout = probe.timeout;
    request->retry.retries = 0;
    request->arrived = loop_.now();
    send_all(request);
}

void load_runner::send_all(const request_ptr& request)
{
    ++report_.of(request->row).requests;
    bool is_doubled = !request->id.empty() && chance(request->duplicates.share);
    std::uint64_t copies = is_doubled ? request->duplicates.copies : 1;
    for (std::uint64_t n = 0; n < copies; ++n)
    {
        send(request);
    }
}

void load_runner::send(const request_ptr& request)
{
    ++request->attempts;
    ++request->pending;
    ++open_;
    attempt_record record;
    record.start = to_history(loop_.now());
    record.caller = request->row.caller;
    record.service = request->service;
    record.key = request->key;
    record.id = request->id;
    record.tag = request->tag;
    record.attempt = request->tag + "." + std::to_string(request->attempts);
    send_attempt(request, std::move(record), 1);
}

// `tries` counts the routers that were tried: where no connection can be opened, the
// balancer turns to another one.
void load_runner::send_attempt(const request_ptr& request,
                               attempt_record record,
                               std::size_t tries)
{
    record.router = request->routers->pick(random_, loop_.now());
    exchange_options options;
    options.timeout = request->timeout + settings_.patience;
    endpoint router = record.router;
    http_request message = to_http(*request, record.attempt);
    auto done = [this, request, tries, record = std::move(record)](
                    const exchange_result& got) mutable
    {
        if (got.end != exchange_end::answered)
        {
            request->routers->failed(record.router, loop_.now());
        }
        bool is_refused = got.end == exchange_end::not_connected;
        if (is_refused && tries < request->routers->size())
        {
            send_attempt(request, std::move(record), tries + 1);
            return;
        }
        ended(request, std::move(record), got);
    };
    http_.send(router, std::move(message), options, std::move(done));
}

void load_runner::ended(const request_ptr& request,
                        attempt_record record,
                        const exchange_result& got)
{
    record.end = to_history(loop_.now());
    read_answer(got, record);
    history_.append(write_history_line(record));
    --open_;
    --request->pending;
    count(*request, record);
    settle(request, got);
    check_finished();
}

void load_runner::count(load_request& request, const attempt_record& record)
{
    class_figures& figures = report_.of(request.row);
    time_point now = loop_.now();
    figures.count_attempt(told(record), duration(record.end - record.start));
    if (!record.problem.empty())
    {
        report_.count_problem(record.problem);
    }
    bool is_served = told(record) == outcome::ran && record.status == status_ok;
    if (is_served && !request.is_served)
    {
        request.is_served = true;
        ++figures.served;
        figures.latency.record(now - request.arrived);
    }
    if (request.is_probe)
    {
        availability_.add(request.service.str() + "/" + request.key,
                          {request.arrived, now, is_served});
    }
}

// Decides whether the request is sent again.
void load_runner::settle(const request_ptr& request, const exchange_result& got)
{
    if (request->is_served || request->attempts > request->retry.retries)
    {
        bool is_wanted = !request->id.empty() && request->pending == 0 &&
                         !request->is_sent_late && chance(request->duplicates.late_share);
        if (is_wanted)
        {
            request->is_sent_late = true;
            retry(request, request->duplicates.late_delay);
        }
        return;
    }
    if (request->pending == 0)
    {
        duration delay = request->retry.delay;
        if (request->retry.honours_retry_after)
        {
            delay = std::max(delay, retry_after(got.answer));
        }
        retry(request, delay);
    }
}

void load_runner::retry(const request_ptr& request, duration delay)
{
    ++open_;
    std::uint64_t name = ++last_retry_;
    auto again = [this, request, name]
    {
        --open_;
        send(request);
        retries_.erase(name);
    };
    retries_[name] = loop_.after(std::max(delay, least_delay), again);
}

void load_runner::stop_arrivals()
{
    is_arriving_ = false;
    for (std::unique_ptr<caller_state>& it : callers_)
    {
        it->timer.reset();
    }
    probe_timers_.clear();
    end_timer_ = loop_.after(settings_.drain,
                             [this]
                             {
                                 is_drained_ = true;
                                 check_finished();
                             });
    check_finished();
}

void load_runner::check_finished()
{
    bool is_open = is_arriving_ || (open_ > 0 && !is_drained_);
    if (is_open || !done_)
    {
        return;
    }
    report_.set_unavailable(availability_.longest(loop_.now()));
    std::exchange(done_, nullptr)();
}

bool load_runner::chance(double share)
{
    return share > 0 && std::bernoulli_distribution(share)(random_);
}

} // namespace camphorrock
