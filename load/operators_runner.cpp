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

constexpr duration resubmit_delay = milliseconds(200);

// The rounds cycle through this range of values of retry_percent.
constexpr unsigned min_retry_percent = 5;
constexpr unsigned retry_percent_count = 20;

// Returns a patch that changes one service's retry_percent, which routers do not act on.
std::string
patch_text(const patch_record& record, const service_name& service, unsigned percent)
{
    Json::Value body(Json::objectValue);
    body["base"] = Json::UInt64{record.base.value};
    body["id"] = record.id.str();
    body["patch"]["services"][service.str()]["retry_percent"] = percent;
    return write_json(body);
}

// Fills in the end and the version that the answer states. Leaves the record unchanged if
// there is no valid answer.
void read_answer(const exchange_result& got, patch_record& record)
{
    if (got.end != exchange_end::answered)
    {
        return;
    }
    value_or_handle(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(body, parse_json(got.answer.body));
            bool is_complete =
                body.isObject() && body["end"].isString() && body["version"].isUInt64();
            if (is_complete)
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
    Json::Value& in_force = out["in_force_ms"];
    for (auto [name, fraction] : {std::pair("p50", median), std::pair("p99", p99)})
    {
        in_force[name] = Json::Int64{lag.quantile(fraction) / milliseconds(1)};
    }
    in_force["max"] = Json::Int64{lag.quantile(1) / milliseconds(1)};
    return write_json(out);
}

operators_runner::operators_runner(event_loop& loop,
                                   http_client& http,
                                   line_file& history,
                                   config_poller& poller,
                                   version_lag& lag,
                                   const operators_settings& settings)
    : loop_(loop), http_(http), history_(history), poller_(poller), lag_(lag),
      settings_(settings), random_(settings.seed), start_time_(loop.now())
{
    id_prefix_ = std::to_string(getpid()) + "-" +
                 std::to_string(to_history_time(start_time_)) + "-";
}

void operators_runner::start(std::function<void()> done)
{
    done_ = std::move(done);
    poller_.start();
    begin_round();
}

void operators_runner::begin_round()
{
    auto begin = [this](config_version document_version)
    {
        newest_version_ = std::max(newest_version_, document_version);
        ++report_.rounds;
        settled_count_ = 0;
        submissions_.clear();
        for (const service_name& it : settings_.services)
        {
            submission next;
            next.service = it;
            next.id =
                patch_id(it.str() + "-" + id_prefix_ + std::to_string(report_.rounds));
            next.base = newest_version_;
            next.assigner = random_() % settings_.assigners.size();
            submissions_.push_back(std::move(next));
        }
        for (std::size_t n = 0; n < submissions_.size(); ++n)
        {
            submit(n);
        }
    };
    poller_.read_document(begin);
}

void operators_runner::submit(std::size_t index)
{
    submission& current = submissions_[index];
    ++current.times_sent;
    ++report_.submissions;
    patch_record record;
    record.start = to_history_time(loop_.now());
    record.caller = current.service.str();
    record.assigner = settings_.assigners[current.assigner];
    record.id = current.id;
    record.base = current.base;
    current.assigner = (current.assigner + 1) % settings_.assigners.size();
    auto percent =
        static_cast<unsigned>(min_retry_percent + report_.rounds % retry_percent_count);
    exchange_options options;
    options.timeout = settings_.timeout;
    http_.send(
        record.assigner,
        {"POST", "/operator/patch", {}, patch_text(record, current.service, percent)},
        options,
        [this, index, record](const exchange_result& got)
        { on_answer(index, record, got); });
}

void operators_runner::on_answer(std::size_t index,
                                 patch_record record,
                                 const exchange_result& got)
{
    record.end = to_history_time(loop_.now());
    read_answer(got, record);
    history_.append(write_history_line(record));
    newest_version_ = std::max(newest_version_, record.version);
    settle_or_resubmit(index, record);
}

void operators_runner::settle_or_resubmit(std::size_t index, const patch_record& record)
{
    submission& current = submissions_[index];
    bool is_accepted = record.ended == "accepted";
    bool is_stale = record.ended == "stale";
    if (is_accepted)
    {
        ++report_.accepted;
        lag_.on_accepted(record.version, loop_.now());
        bool is_repeat = !current.is_repeated &&
                         std::bernoulli_distribution(settings_.repeat_share)(random_);
        if (is_repeat)
        {
            current.is_repeated = true;
            schedule_resubmission(index);
            return;
        }
    }
    report_.stale += is_stale ? 1 : 0;
    bool is_settled = is_accepted || is_stale;
    if (!is_settled && current.times_sent < settings_.max_submissions)
    {
        schedule_resubmission(index);
        return;
    }
    report_.unsettled += is_settled ? 0 : 1;
    if (++settled_count_ == submissions_.size())
    {
        end_round();
    }
}

void operators_runner::schedule_resubmission(std::size_t index)
{
    submissions_[index].resubmit_timer =
        loop_.after(resubmit_delay, [this, index] { submit(index); });
}

void operators_runner::end_round()
{
    bool is_last = loop_.now() - start_time_ >= settings_.length;
    round_timer_ = loop_.after(is_last ? settings_.drain : settings_.round_pause,
                               [this, is_last]
                               {
                                   if (is_last)
                                   {
                                       finish();
                                       return;
                                   }
                                   begin_round();
                               });
}

// Records the final document before the history ends.
void operators_runner::finish()
{
    poller_.read_document([this](config_version) { std::exchange(done_, nullptr)(); });
}

} // namespace camphorrock
