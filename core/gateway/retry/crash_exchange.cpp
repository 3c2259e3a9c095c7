#include "core/gateway/retry/crash_exchange.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{

crash_exchange::crash_exchange(crash_exchange_options options)
    : options_(std::move(options)), gateways_(options_.counting)
{
}

void crash_exchange::set_fleet(const std::vector<fleet_gateway>& fleet,
                               const endpoint& self,
                               time_point now)
{
    gateways_.set_fleet(fleet, self);
    const bool is_first = fleet.size() > 1 && questions_ == 0 && !next_question_at_;
    if (is_first)
    {
        next_question_at_ = now;
    }
}

void crash_exchange::request(trial_request trial, time_point now)
{
    const trial_id id = trial.id;
    trial.known = suspects_.crashes_of(trial.request);
    trial.reply_to = gateways_.self();
    pending_[id] = {std::move(trial), {}, 0, {}};
    ask(id, now);
}

void crash_exchange::ask(trial_id id, time_point now)
{
    pending_trial& it = pending_.at(id);
    const std::optional<endpoint> to = gateways_.choose(it.trial.service.str(), now);
    const bool is_decided_here =
        !to || *to == gateways_.self() || it.attempts == options_.max_attempts;
    if (is_decided_here)
    {
        decide(id, counter_.request(it.trial, now), now);
        note_changes(now);
        return;
    }
    ++it.attempts;
    it.asked = *to;
    it.timeout = now + options_.reply_timeout;
    outgoing_.push_back({*to, it.trial});
}

void crash_exchange::decide(trial_id id, trial_answer answer, time_point now)
{
    const auto found = pending_.find(id);
    const request_fingerprint request = found->second.trial.request;
    pending_.erase(found);
    if (answer == trial_answer::cleared)
    {
        clear(request, now);
    }
    decided_.push_back({id, answer});
}

bool crash_exchange::withdraw(trial_id id, time_point now)
{
    const auto found = pending_.find(id);
    if (found == pending_.end())
    {
        return false;
    }
    const pending_trial it = std::move(found->second);
    pending_.erase(found);
    if (it.attempts > 0)
    {
        // The permission may be on its way.
        report({id,
                it.trial.service,
                it.trial.request,
                trial_end::unknown,
                it.trial.server,
                {},
                {},
                {}},
               now);
    }
    return true;
}

void crash_exchange::report(const trial_report& report, time_point now)
{
    if (report.end == trial_end::crashed)
    {
        const known_crashes known = suspects_.crashes_of(report.request);
        learn({report.request.whole, std::max(known.whole, 1U)}, now);
        learn({report.request.path, std::max(known.path, 1U)}, now);
    }
    pending_report& it = reports_[report.id];
    it = {report, now, {}, 0, {}};
    it.report.reply_to = gateways_.self();
    send_report(report.id, now);
    if (report.end == trial_end::completed)
    {
        clear(report.request, now);
    }
}

void crash_exchange::clear(const request_fingerprint& request, time_point now)
{
    suspects_.clear(request);
    for (const std::uint64_t it : request.both())
    {
        counter_.learn_cleared(it, now);
    }
}

void crash_exchange::send_report(trial_id id, time_point now)
{
    pending_report& it = reports_.at(id);
    const trial_report report = aged(it, now);
    const std::optional<endpoint> to = gateways_.choose(report.service.str(), now);
    const bool is_counted_here =
        !to || *to == gateways_.self() || it.attempts == options_.max_attempts;
    if (is_counted_here)
    {
        reports_.erase(id);
        count_here(report, now);
        return;
    }
    counter_.end_trial(id);
    ++it.attempts;
    it.asked = *to;
    it.timeout = now + options_.reply_timeout;
    outgoing_.push_back({*to, report});
}

trial_report crash_exchange::aged(const pending_report& it, time_point now)
{
    trial_report report = it.report;
    report.started_ago += now - it.first_sent_at;
    report.ended_ago += now - it.first_sent_at;
    return report;
}

void crash_exchange::count_here(const trial_report& report, time_point now)
{
    counter_.report(report, now);
    note_changes(now);
    if (report.end == trial_end::completed)
    {
        tell_cleared(report.request, now);
    }
}

// For what another gateway has counted, and this one has only heard of.
void crash_exchange::tell_cleared(const request_fingerprint& request, time_point now)
{
    for (const std::uint64_t it : request.both())
    {
        const unsigned crashes = suspects_.crashes_of(it);
        if (crashes >= crashes_to_condemn)
        {
            verdicts_.push_back({it, 0});
        }
        if (crashes > 0)
        {
            tell_all({{it, 0}}, now);
        }
    }
}

void crash_exchange::lift(const request_fingerprint& request, time_point now)
{
    trial_report cleared;
    cleared.request = request;
    cleared.end = trial_end::completed;
    counter_.report(cleared, now);
    counter_.take_changes();
    const std::vector<suspect_row> rows{{request.whole, 0}, {request.path, 0}};
    verdicts_.insert(verdicts_.end(), rows.begin(), rows.end());
    tell_all(rows, now);
}

void crash_exchange::restore(const std::vector<suspect_row>& verdicts, time_point now)
{
    tell_all(verdicts, now);
}

void crash_exchange::note_changes(time_point now)
{
    const std::vector<suspect_row> rows = counter_.take_changes();
    for (const suspect_row& it : rows)
    {
        const bool was_verdict =
            suspects_.crashes_of(it.fingerprint) >= crashes_to_condemn;
        const bool is_verdict =
            it.crashes == 0 ? was_verdict : it.crashes == crashes_to_condemn;
        if (is_verdict)
        {
            verdicts_.push_back(it);
        }
    }
    tell_all(rows, now);
}

void crash_exchange::tell_all(const std::vector<suspect_row>& rows, time_point now)
{
    if (rows.empty())
    {
        return;
    }
    for (const suspect_row& it : rows)
    {
        learn(it, now);
    }
    const bool is_new = notices_.empty() || notices_.back().sent > 0;
    if (is_new)
    {
        notices_.push_back({{}, now + options_.notice_delay, 0});
    }
    std::vector<suspect_row>& to = notices_.back().rows;
    to.insert(to.end(), rows.begin(), rows.end());
}

void crash_exchange::learn(const suspect_row& row, time_point now)
{
    if (suspects_.add(row, now))
    {
        news_.push_back(row);
    }
}

void crash_exchange::send_notice(const std::vector<suspect_row>& rows)
{
    for (std::size_t at = 0; at < rows.size(); at += options_.max_rows_in_notice)
    {
        const std::size_t end = std::min(rows.size(), at + options_.max_rows_in_notice);
        suspects_notice notice;
        notice.rows.assign(rows.begin() + static_cast<std::ptrdiff_t>(at),
                           rows.begin() + static_cast<std::ptrdiff_t>(end));
        for (const fleet_gateway& it : gateways_.fleet())
        {
            if (it.peer != gateways_.self())
            {
                outgoing_.push_back({it.peer, notice});
            }
        }
    }
}

void crash_exchange::ask_for_verdicts(time_point now)
{
    ++questions_;
    next_question_at_.reset();
    if (questions_ < options_.questions)
    {
        next_question_at_ = now + options_.question_gap;
    }
    for (const endpoint& it : ranked_gateways_of(
             gateways_.fleet(), gateways_.self().str(), options_.gateways_to_ask + 1))
    {
        if (it != gateways_.self())
        {
            outgoing_.push_back({it, verdicts_request{gateways_.self()}});
        }
    }
}

void crash_exchange::receive(const crash_message& message, time_point now)
{
    std::visit([&](const auto& it) { handle(it, now); }, message);
}

void crash_exchange::handle(const trial_request& trial, time_point now)
{
    outgoing_.push_back(
        {trial.reply_to, trial_reply{trial.id, counter_.request(trial, now)}});
    note_changes(now); // the gateway that asks may know more
}

void crash_exchange::handle(const trial_reply& reply, time_point now)
{
    const auto found = pending_.find(reply.id);
    if (found == pending_.end())
    {
        return;
    }
    gateways_.note_reply(found->second.asked);
    if (reply.answer == trial_answer::condemned)
    {
        learn({found->second.trial.request.whole, crashes_to_condemn}, now);
    }
    decide(reply.id, reply.answer, now);
}

void crash_exchange::handle(const trial_report& report, time_point now)
{
    outgoing_.push_back({report.reply_to, trial_noted{report.id}});
    count_here(report, now);
}

void crash_exchange::handle(const trial_noted& noted, time_point)
{
    const auto found = reports_.find(noted.id);
    if (found != reports_.end())
    {
        gateways_.note_reply(found->second.asked);
        reports_.erase(found);
    }
}

void crash_exchange::handle(const suspects_notice& notice, time_point now)
{
    for (const suspect_row& it : notice.rows)
    {
        learn(it, now);
        if (it.crashes == 0)
        {
            counter_.learn_cleared(it.fingerprint, now);
        }
    }
}

void crash_exchange::handle(const verdicts_request& request, time_point)
{
    const std::vector<suspect_row> rows =
        suspects_.condemned(options_.max_rows_in_notice);
    if (!rows.empty())
    {
        outgoing_.push_back({request.reply_to, suspects_notice{rows}});
    }
}

void crash_exchange::tick(time_point now)
{
    tick_trials(now);
    tick_reports(now);
    tick_notices(now);
    if (next_question_at_ && now >= *next_question_at_)
    {
        ask_for_verdicts(now);
    }
}

void crash_exchange::tick_trials(time_point now)
{
    std::vector<trial_id> late;
    for (const auto& [id, it] : pending_)
    {
        if (now >= it.timeout)
        {
            late.push_back(id);
        }
    }
    for (const trial_id id : late)
    {
        gateways_.note_missed_reply(pending_.at(id).asked, now);
        ask(id, now);
    }
}

void crash_exchange::tick_reports(time_point now)
{
    std::vector<trial_id> late;
    for (const auto& [id, it] : reports_)
    {
        if (now >= it.timeout)
        {
            late.push_back(id);
        }
    }
    for (const trial_id id : late)
    {
        pending_report& it = reports_.at(id);
        gateways_.note_missed_reply(it.asked, now);
        if (it.attempts == 1)
        {
            // The others learn of a crash at once, also if all that count are silent.
            count_here(aged(it, now), now);
        }
        send_report(id, now);
    }
}

// Tells what is known now: a suspect may have been cleared meanwhile.
void crash_exchange::tick_notices(time_point now)
{
    for (pending_notice& it : notices_)
    {
        if (now < due_at(it))
        {
            continue;
        }
        if (it.sent > 0)
        {
            std::erase_if(it.rows,
                          [&](suspect_row& row)
                          {
                              const bool was_suspect = row.crashes > 0;
                              row.crashes = suspects_.crashes_of(row.fingerprint);
                              return was_suspect && row.crashes == 0;
                          });
        }
        send_notice(it.rows);
        ++it.sent;
    }
    std::erase_if(notices_,
                  [&](const pending_notice& it)
                  { return it.sent > options_.notice_repeats.size(); });
}

time_point crash_exchange::due_at(const pending_notice& it) const
{
    return it.sent == 0 ? it.first_due_at
                        : it.first_due_at + options_.notice_repeats[it.sent - 1];
}

std::optional<time_point> crash_exchange::next_timeout() const
{
    std::optional<time_point> first = next_question_at_;
    const auto add = [&](time_point at)
    {
        first = std::min(first.value_or(at), at);
    };
    for (const auto& [id, it] : pending_)
    {
        add(it.timeout);
    }
    for (const auto& [id, it] : reports_)
    {
        add(it.timeout);
    }
    for (const pending_notice& it : notices_)
    {
        add(due_at(it));
    }
    return first;
}

void crash_exchange::expire(time_point now)
{
    suspects_.expire(now);
    counter_.expire(now);
    gateways_.expire(now);
}

std::vector<outgoing_crash_message> crash_exchange::take_outgoing()
{
    return std::exchange(outgoing_, {});
}

std::vector<decided_trial> crash_exchange::take_decided()
{
    return std::exchange(decided_, {});
}

std::vector<suspect_row> crash_exchange::take_verdicts()
{
    return std::exchange(verdicts_, {});
}

std::vector<suspect_row> crash_exchange::take_news()
{
    return std::exchange(news_, {});
}

} // namespace camphorrock
