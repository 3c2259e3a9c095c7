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

// A caller that retries without a delay still takes at least this long.
constexpr duration min_retry_delay = milliseconds(1);

std::string header_text(const http_response& answer, const char* name)
{
    return std::string(answer.headers.find(name).value_or(""));
}

// Returns 0 if the answer has no valid Retry-After header.
duration retry_after(const http_response& answer)
{
    std::string text = header_text(answer, "Retry-After");
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return seconds(value);
}

// Returns nullopt if there was no answer or it had no valid outcome.
std::optional<outcome> reported_outcome(const attempt_record& record)
{
    return parse_outcome(record.outcome);
}

std::string class_name(bool is_write, bool is_long)
{
    return std::string(is_write ? "write" : "read") + (is_long ? "-long" : "-short");
}

// Returns the type of an RFC 9457 problem, or "other" if the body is not a problem.
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

// Fills in the fields of the record that describe the end of the exchange.
void read_result(const exchange_result& got, attempt_record& record)
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
      start_time_(loop.now())
{
    tag_prefix_ = std::to_string(settings.seed) + "-" + std::to_string(getpid()) + "-" +
                  std::to_string(to_history_time(start_time_)) + "-";
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
        schedule_arrival(*callers_.back());
    }
    for (const probe_settings& it : settings_.probes)
    {
        start_probing(it);
    }
    end_timer_ = loop_.after(settings_.length, [this] { stop_arrivals(); });
}

void load_runner::finish_early()
{
    if (is_generating_)
    {
        stop_arrivals();
    }
}

void load_runner::schedule_arrival(caller_state& caller)
{
    std::optional<duration> next_arrival = caller.arrivals.next_arrival(random_);
    if (!next_arrival || *next_arrival >= settings_.length)
    {
        caller.arrival_timer.reset();
        return;
    }
    caller.next_arrival = *next_arrival;
    duration delay = std::max(start_time_ + *next_arrival - loop_.now(), duration(0));
    caller.arrival_timer = loop_.after(delay, [this, &caller] { on_arrival(caller); });
}

void load_runner::on_arrival(caller_state& caller)
{
    if (open_attempts_ >= settings_.max_in_flight)
    {
        report_.count_skipped();
    }
    else
    {
        start_request(make_request(caller));
    }
    schedule_arrival(caller);
}

load_runner::request_ptr load_runner::make_request(caller_state& caller)
{
    const caller_settings& settings = *caller.settings;
    auto request = std::make_shared<load_request>();
    bool is_write = draw_bernoulli(settings.write_share);
    request->is_long = draw_bernoulli(settings.long_share);
    request->row = {settings.name, class_name(is_write, request->is_long)};
    request->routers = settings.routers.empty() ? &routers_ : &caller.own_routers;
    request->service = settings.service;
    request->key = caller.keys.draw_key(random_, caller.next_arrival);
    request->tag = tag_prefix_ + std::to_string(++last_request_number_);
    request->id = is_write ? request_id("id-" + request->tag) : request_id();
    request->timeout = settings.timeout;
    request->retry = settings.retry;
    request->duplicates = settings.duplicates;
    request->arrival = start_time_ + caller.next_arrival;
    return request;
}

// The probes of the keys are spread evenly over the period.
void load_runner::start_probing(const probe_settings& probe)
{
    for (std::uint64_t n = 0; n < probe.keys; ++n)
    {
        duration offset = probe.period * n / probe.keys;
        std::size_t index = probe_timers_.size();
        auto start_period = [this, &probe, index, key = key_text(n)]
        {
            probe_timers_[index] = loop_.every(
                probe.period, [this, &probe, key] { send_probe(probe, key); });
        };
        probe_timers_.push_back(loop_.after(offset, start_period));
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
    request->tag = tag_prefix_ + std::to_string(++last_request_number_);
    request->timeout = probe.timeout;
    request->retry.retries = 0;
    request->arrival = loop_.now();
    start_request(request);
}

void load_runner::start_request(const request_ptr& request)
{
    ++report_.stats_for(request->row).requests;
    bool is_duplicated =
        !request->id.empty() && draw_bernoulli(request->duplicates.share);
    std::uint64_t copies = is_duplicated ? request->duplicates.copies : 1;
    for (std::uint64_t n = 0; n < copies; ++n)
    {
        start_attempt(request);
    }
}

void load_runner::start_attempt(const request_ptr& request)
{
    ++request->attempts_sent;
    ++request->attempts_in_flight;
    ++open_attempts_;
    attempt_record record;
    record.start = to_history_time(loop_.now());
    record.caller = request->row.caller;
    record.service = request->service;
    record.key = request->key;
    record.id = request->id;
    record.tag = request->tag;
    record.attempt = request->tag + "." + std::to_string(request->attempts_sent);
    send_to_router(request, std::move(record), 1);
}

// `routers_tried` includes the router of this call. If no connection can be opened, the
// attempt continues at another router, as it would behind a load balancer.
void load_runner::send_to_router(const request_ptr& request,
                                 attempt_record record,
                                 std::size_t routers_tried)
{
    record.router = request->routers->pick(random_, loop_.now());
    exchange_options options;
    options.timeout = request->timeout + settings_.timeout_margin;
    endpoint router = record.router;
    http_request message = to_http(*request, record.attempt);
    auto done = [this, request, routers_tried, record = std::move(record)](
                    const exchange_result& got) mutable
    {
        if (got.end != exchange_end::answered)
        {
            request->routers->eject(record.router, loop_.now());
        }
        bool is_unreachable = got.end == exchange_end::not_connected;
        if (is_unreachable && routers_tried < request->routers->size())
        {
            send_to_router(request, std::move(record), routers_tried + 1);
            return;
        }
        finish_attempt(request, std::move(record), got);
    };
    http_.send(router, std::move(message), options, std::move(done));
}

void load_runner::finish_attempt(const request_ptr& request,
                                 attempt_record record,
                                 const exchange_result& got)
{
    record.end = to_history_time(loop_.now());
    read_result(got, record);
    history_.append(write_history_line(record));
    --open_attempts_;
    --request->attempts_in_flight;
    record_result(*request, record);
    plan_next_attempt(request, got);
    check_finished();
}

void load_runner::record_result(load_request& request, const attempt_record& record)
{
    class_stats& stats = report_.stats_for(request.row);
    time_point now = loop_.now();
    stats.count_attempt(reported_outcome(record), duration(record.end - record.start));
    if (!record.problem.empty())
    {
        report_.count_problem(record.problem);
    }
    bool is_served =
        reported_outcome(record) == outcome::ran && record.status == status_ok;
    if (is_served && !request.is_served)
    {
        request.is_served = true;
        ++stats.served;
        stats.latency.record(now - request.arrival);
    }
    if (request.is_probe)
    {
        availability_.add_probe(request.service.str() + "/" + request.key,
                                {request.arrival, now, is_served});
    }
}

// Schedules a retry if the request needs one, or its late duplicate.
void load_runner::plan_next_attempt(const request_ptr& request,
                                    const exchange_result& got)
{
    if (request->is_served || request->attempts_sent > request->retry.retries)
    {
        bool needs_late_duplicate = !request->id.empty() &&
                                    request->attempts_in_flight == 0 &&
                                    !request->has_late_duplicate &&
                                    draw_bernoulli(request->duplicates.late_share);
        if (needs_late_duplicate)
        {
            request->has_late_duplicate = true;
            schedule_retry(request, request->duplicates.late_delay);
        }
        return;
    }
    if (request->attempts_in_flight == 0)
    {
        duration delay = request->retry.delay;
        if (request->retry.honours_retry_after)
        {
            delay = std::max(delay, retry_after(got.answer));
        }
        schedule_retry(request, delay);
    }
}

void load_runner::schedule_retry(const request_ptr& request, duration delay)
{
    ++open_attempts_;
    std::uint64_t id = ++last_retry_id_;
    auto send = [this, request, id]
    {
        --open_attempts_;
        start_attempt(request);
        retry_timers_.erase(id);
    };
    retry_timers_[id] = loop_.after(std::max(delay, min_retry_delay), send);
}

void load_runner::stop_arrivals()
{
    is_generating_ = false;
    for (std::unique_ptr<caller_state>& it : callers_)
    {
        it->arrival_timer.reset();
    }
    probe_timers_.clear();
    end_timer_ = loop_.after(settings_.drain,
                             [this]
                             {
                                 is_drain_over_ = true;
                                 check_finished();
                             });
    check_finished();
}

void load_runner::check_finished()
{
    bool is_running = is_generating_ || (open_attempts_ > 0 && !is_drain_over_);
    if (is_running || !done_)
    {
        return;
    }
    report_.set_longest_outages(availability_.longest_outages(loop_.now()));
    std::exchange(done_, nullptr)();
}

bool load_runner::draw_bernoulli(double probability)
{
    return probability > 0 && std::bernoulli_distribution(probability)(random_);
}

} // namespace camphorrock
