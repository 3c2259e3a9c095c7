#include "load/operators_runner.hpp"

#include "codec/history_json.hpp"
#include "codec/json_text.hpp"
#include "load/history_clock.hpp"

#include <json/value.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration submit_again_after = milliseconds(200);
constexpr unsigned least_percent = 5;
constexpr unsigned percents = 20;

// A patch that concerns one service only and changes nothing that routers act on.
std::string
patch_text(const patch_record& record, const service_name& service, unsigned percent)
{
    Json::Value body(Json::objectValue);
    body["base"] = Json::UInt64{record.base.value};
    body["id"] = record.id.str();
    body["patch"]["services"][service.str()]["retry_percent"] = percent;
    return write_json(body);
}

// Fills in what the answer says.
void read_end(const exchange_result& got, patch_record& record)
{
    if (got.end != exchange_end::answered)
    {
        return;
    }
    value_or_handle(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(body, parse_json(got.answer.body));
            bool is_whole =
                body.isObject() && body["end"].isString() && body["version"].isUInt64();
            if (is_whole)
            {
                record.ended = body["end"].asString();
                record.version = config_version{body["version"].asUInt64()};
            }
            return {};
        },
        [](const error&) {});
}

} // namespace

std::string to_json(const operators_report& report, const version_lag& lag)
{
    constexpr double median = 0.5;
    constexpr double p99 = 0.99;
    Json::Value out(Json::objectValue);
    out["rounds"] = Json::UInt64{report.rounds};
    out["submissions"] = Json::UInt64{report.submissions};
    out["accepted"] = Json::UInt64{report.accepted};
    out["stale"] = Json::UInt64{report.stale};
    out["unsettled"] = Json::UInt64{report.unsettled};
    Json::Value& shown = out["in_force_ms"];
    for (auto [name, share] : {std::pair("p50", median), std::pair("p99", p99)})
    {
        shown[name] = Json::Int64{lag.quantile(share) / milliseconds(1)};
    }
    shown["max"] = Json::Int64{lag.quantile(1) / milliseconds(1)};
    return write_json(out);
}

operators_runner::operators_runner(event_loop& loop,
                                   http_client& http,
                                   line_file& history,
                                   config_watch& watch,
                                   version_lag& lag,
                                   const operators_settings& settings)
    : loop_(loop), http_(http), history_(history), watch_(watch), lag_(lag),
      settings_(settings), random_(settings.seed), started_(loop.now())
{
    run_prefix_ =
        std::to_string(getpid()) + "-" + std::to_string(to_history(started_)) + "-";
}

void operators_runner::start(std::function<void()> done)
{
    done_ = std::move(done);
    watch_.start();
    begin_round();
}

void operators_runner::begin_round()
{
    auto begin = [this](config_version read)
    {
        newest_ = std::max(newest_, read);
        ++report_.rounds;
        settled_ = 0;
        open_.clear();
        for (const service_name& it : settings_.services)
        {
            submission made;
            made.service = it;
            made.id =
                patch_id(it.str() + "-" + run_prefix_ + std::to_string(report_.rounds));
            made.base = newest_;
            made.assigner = random_() % settings_.assigners.size();
            open_.push_back(std::move(made));
        }
        for (std::size_t n = 0; n < open_.size(); ++n)
        {
            submit(n);
        }
    };
    watch_.read_document(begin);
}

void operators_runner::submit(std::size_t who)
{
    submission& from = open_[who];
    ++from.sent;
    ++report_.submissions;
    patch_record record;
    record.start = to_history(loop_.now());
    record.caller = from.service.str();
    record.assigner = settings_.assigners[from.assigner];
    record.id = from.id;
    record.base = from.base;
    from.assigner = (from.assigner + 1) % settings_.assigners.size();
    auto percent = static_cast<unsigned>(least_percent + report_.rounds % percents);
    exchange_options options;
    options.timeout = settings_.timeout;
    http_.send(record.assigner,
               {"POST", "/operator/patch", {}, patch_text(record, from.service, percent)},
               options,
               [this, who, record](const exchange_result& got)
               { on_answer(who, record, got); });
}

void operators_runner::on_answer(std::size_t who,
                                 patch_record record,
                                 const exchange_result& got)
{
    record.end = to_history(loop_.now());
    read_end(got, record);
    history_.append(write_history_line(record));
    newest_ = std::max(newest_, record.version);
    settle(who, record);
}

void operators_runner::settle(std::size_t who, const patch_record& record)
{
    submission& from = open_[who];
    bool is_accepted = record.ended == "accepted";
    bool is_stale = record.ended == "stale";
    if (is_accepted)
    {
        ++report_.accepted;
        lag_.on_accepted(record.version, loop_.now());
        bool is_repeat = !from.is_repeated &&
                         std::bernoulli_distribution(settings_.repeat_share)(random_);
        if (is_repeat)
        {
            from.is_repeated = true;
            submit_later(who);
            return;
        }
    }
    report_.stale += is_stale ? 1 : 0;
    bool is_settled = is_accepted || is_stale;
    if (!is_settled && from.sent < settings_.submissions)
    {
        submit_later(who);
        return;
    }
    report_.unsettled += is_settled ? 0 : 1;
    if (++settled_ == open_.size())
    {
        end_round();
    }
}

void operators_runner::submit_later(std::size_t who)
{
    open_[who].again = loop_.after(submit_again_after, [this, who] { submit(who); });
}

void operators_runner::end_round()
{
    bool is_over = loop_.now() - started_ >= settings_.length;
    timer_ = loop_.after(is_over ? settings_.drain : settings_.round_pause,
                         [this, is_over]
                         {
                             if (is_over)
                             {
                                 end();
                                 return;
                             }
                             begin_round();
                         });
}

// The last word is a read of the document.
void operators_runner::end()
{
    watch_.read_document([this](config_version) { std::exchange(done_, nullptr)(); });
}

} // namespace camphorrock
