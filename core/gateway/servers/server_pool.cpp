#include "core/gateway/servers/server_pool.hpp"

#include "core/base/backoff.hpp"
#include "core/base/enum_names.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr enum_names<attempt_end, 8> names{{{
    {attempt_end::answered, "answered"},
    {attempt_end::server_error, "server_error"},
    {attempt_end::shed, "shed"},
    {attempt_end::not_owner, "not_owner"},
    {attempt_end::other_server, "other_server"},
    {attempt_end::unreachable, "unreachable"},
    {attempt_end::lost, "lost"},
    {attempt_end::cancelled, "cancelled"},
}}};

double to_us(duration value)
{
    return static_cast<double>(value.count());
}

duration from_us(double value)
{
    return duration(static_cast<duration::rep>(value));
}

// Gateways prefer out-of-group servers less, as they count their requests less well. In
// parts of the preference spread.
constexpr double out_of_group_distance = 0.5;

// The expected queueing time of a request behind `load` others, in service times.
double queueing_factor(unsigned load, unsigned slots)
{
    const double n = std::max(1U, slots);
    return std::max(0.0, load + 1.0 - n) / n;
}

// Servers without room come after all others.
struct candidate_cost
{
    bool is_full = false;
    double cost_us = 0;

    auto operator<=>(const candidate_cost&) const = default;
};

// From 0 to 1, evenly spread over the servers and over the seeds.
double preference_for(std::uint64_t seed, server_tag server)
{
    std::seed_seq both{static_cast<std::uint32_t>(seed),
                       static_cast<std::uint32_t>(seed >> 32),
                       server.value};
    std::uint32_t drawn = 0;
    both.generate(&drawn, &drawn + 1);
    return drawn / 4294967296.0;
}

bool contains(const std::vector<server_id>& list, const server_id& wanted)
{
    return std::find(list.begin(), list.end(), wanted) != list.end();
}

} // namespace

std::string_view name_of(attempt_end value)
{
    return names.name(value);
}

server_pool::server_pool(data_centre here, server_pool_options options)
    : here_(std::move(here)), options_(options),
      mean_service_us_(to_us(options.initial_mean_time))
{
}

void server_pool::update(const std::vector<const known_server*>& servers, time_point now)
{
    std::map<server_id, row> updated;
    for (const known_server* server : servers)
    {
        row made;
        auto old = rows_.find(server->entry.id);
        const bool is_unchanged = old != rows_.end() && old->second.entry.incarnation ==
                                                            server->entry.incarnation;
        if (is_unchanged)
        {
            made = old->second;
        }
        else
        {
            made.average_service_us = mean_service_us_;
            made.usual_service_us = mean_service_us_;
            made.estimated_at = now;
            made.tested_at = now;
            made.probe_after = options_.first_probe_after;
            made.fullness = full_server({.queue_length = options_.queue_length});
            made.tag = tag_of(server->entry.id);
            made.preference = preference_for(options_.preference_seed, made.tag);
        }
        made.entry = server->entry;
        made.is_usable = server->is_usable();
        made.is_missing = server->is_missing;
        made.leaving_since = server->leaving_since();
        made.evacuation_stop_at = server->evacuation_stop_at;
        made.warm_up_end = server->entry_received_at + server->entry.warm_up_left;
        updated.emplace(server->entry.id, std::move(made));
    }
    // Servers that are no longer listed are kept while they have requests in flight,
    // whose attempts still end here.
    for (auto& [id, it] : rows_)
    {
        if (it.own_requests > 0 && !updated.contains(id))
        {
            it.is_usable = false;
            it.is_missing = false;
            updated.emplace(id, it);
        }
    }
    rows_ = std::move(updated);
    ids_by_tag_.clear();
    has_reports_ = false;
    for (const auto& [id, it] : rows_)
    {
        has_reports_ = has_reports_ || it.reported.is_known();
        ids_by_tag_[it.tag.value] = id;
    }
}

bool server_pool::is_eligible(const row& it,
                              const server_criteria& criteria,
                              time_point now) const
{
    return is_allowed(it, criteria, now) && !is_paused(it, now) &&
           now >= it.limited_until;
}

// After its end, a pause goes on in effect while one request tests the server.
bool server_pool::is_paused(const row& it, time_point now)
{
    return now < it.paused_until || (!it.is_pause_tested && it.own_requests > 0);
}

// True if the server may be chosen when it is not paused.
bool server_pool::is_allowed(const row& it,
                             const server_criteria& criteria,
                             time_point now) const
{
    if (contains(criteria.excluded, it.entry.id))
    {
        return false;
    }
    if (!criteria.owner)
    {
        return it.is_usable;
    }
    const bool is_past_limit =
        it.leaving_since && now - *it.leaving_since > options_.leaving_owner_limit;
    const bool is_past_evacuation =
        it.evacuation_stop_at && now >= *it.evacuation_stop_at;
    return it.entry.id == *criteria.owner && !is_past_limit && !is_past_evacuation &&
           !is_suspected(it, now);
}

bool server_pool::is_suspected(const row& it, time_point now) const
{
    const bool is_on_probation = it.refusals >= options_.refusals_to_suspect;
    return is_on_probation && (now < it.suspected_until || it.own_requests > 0);
}

bool server_pool::is_suspended(const row& it, time_point now) const
{
    const bool is_on_probation = it.suspended_until != time_point{} && it.failures > 0;
    return now < it.suspended_until || (is_on_probation && it.own_requests > 0);
}

double server_pool::estimate_decay(const row& it, time_point now) const
{
    const double decayed_us = to_us(now - it.estimated_at - options_.estimate_valid_for);
    const double half_lives = decayed_us / to_us(options_.estimate_half_life);
    return 1 - std::exp2(-std::max(0.0, half_lives));
}

server_pool::basis server_pool::basis_of(const row& it)
{
    const bool is_used = it.reported.is_known() && it.reported.is_trusted();
    return is_used ? basis::reported : basis::counted;
}

unsigned server_pool::requests_of_others(const row& it, basis on, time_point now) const
{
    if (on == basis::counted)
    {
        return it.remote_requests;
    }
    return it.reported.requests_of_others(
        {it.remote_requests, it.entry.slots, it.is_in_group && is_covered_}, now);
}

double server_pool::estimated_service_us(const row& it, basis on, time_point now) const
{
    const double average_us =
        on == basis::reported ? it.usual_service_us : it.average_service_us;
    return average_us + estimate_decay(it, now) * (mean_service_us_ - average_us);
}

double server_pool::expected_service_us(const row& it, basis on, time_point now) const
{
    const bool is_warming_up = now < it.warm_up_end;
    const double slowness = on == basis::reported ? it.reported.slowness(now) : 1;
    const double estimated_us = slowness * estimated_service_us(it, on, now);
    return is_warming_up
               ? std::max(estimated_us, options_.warm_up_factor * mean_service_us_)
               : estimated_us;
}

unsigned server_pool::load_of(const row& it, unsigned requests, time_point now) const
{
    const bool is_full = now < it.full_until;
    return is_full ? std::max(requests, it.entry.slots + options_.queue_length)
                   : requests;
}

double server_pool::cost_us(const row& it, time_point now) const
{
    const double remote_zone = it.entry.zone == here_ ? 0 : options_.remote_zone_penalty;
    const double out_of_group = it.is_in_group ? 0 : options_.out_of_group_penalty;
    const double failure = options_.failure_penalty * failure_rate(it, now);
    const basis on = basis_of(it);
    const double service_us = expected_service_us(it, on, now);
    const unsigned load =
        load_of(it, it.own_requests + requests_of_others(it, on, now), now);
    return queueing_factor(load, it.entry.slots) * service_us +
           options_.service_time_weight * service_us +
           (remote_zone + out_of_group + failure) * mean_service_us_;
}

void server_pool::pause(const server_id& server, duration span, time_point now)
{
    auto it = rows_.find(server);
    if (it != rows_.end())
    {
        it->second.paused_until = std::max(it->second.paused_until, now + span);
        it->second.is_pause_tested = false;
    }
}

bool server_pool::is_paused(const server_id& server, time_point now) const
{
    auto it = rows_.find(server);
    return it != rows_.end() && now < it->second.paused_until;
}

void server_pool::note_limit_reached(const server_id& server, time_point until)
{
    auto it = rows_.find(server);
    if (it != rows_.end())
    {
        it->second.limited_until = until;
    }
}

void server_pool::forget_limit_reached(const server_id& server)
{
    note_limit_reached(server, time_point{});
}

void server_pool::forget_unreachable()
{
    for (auto& [id, it] : rows_)
    {
        if (it.was_unreachable)
        {
            it.was_unreachable = false;
            it.failures = 0;
            it.failure_rate = 0;
            it.suspended_until = {};
        }
    }
}

std::optional<pool_wait> server_pool::wait_left(const server_criteria& criteria,
                                                time_point now) const
{
    std::optional<pool_wait> least;
    for (const auto& [id, it] : rows_)
    {
        if (!is_allowed(it, criteria, now))
        {
            continue;
        }
        const bool is_limited = now < it.limited_until;
        if (!is_paused(it, now) && !is_limited)
        {
            return std::nullopt;
        }
        const time_point until = std::max(it.paused_until, it.limited_until);
        const pool_wait wait{std::max<duration>(until - now, duration::zero()),
                             is_limited && it.limited_until >= it.paused_until};
        least = std::min(least.value_or(wait), wait);
    }
    return least;
}

std::optional<server_choice> server_pool::choose(const server_criteria& criteria,
                                                 std::minstd_rand& random,
                                                 time_point now) const
{
    const double spread = has_reports_ ? spread_ : 0;
    const row* best = nullptr;
    candidate_cost best_cost;
    unsigned ties = 0;
    const row* first_to_return = nullptr; // the suspended server that returns first
    for (const auto& [id, it] : rows_)
    {
        if (!is_eligible(it, criteria, now))
        {
            continue;
        }
        if (!criteria.owner && is_suspended(it, now))
        {
            const bool is_first = first_to_return == nullptr ||
                                  it.suspended_until < first_to_return->suspended_until;
            first_to_return = is_first ? &it : first_to_return;
            continue;
        }
        const double distance =
            it.preference + (it.is_in_group ? 0 : out_of_group_distance);
        const candidate_cost cost{excess_at(it, criteria, now) > 0,
                                  cost_us(it, now) +
                                      spread * distance * mean_service_us_};
        if (best == nullptr || cost < best_cost)
        {
            best = &it;
            best_cost = cost;
            ties = 1;
        }
        else if (cost == best_cost && random() % ++ties == 0)
        {
            best = &it;
        }
    }
    best = best != nullptr ? best : first_to_return;
    return best != nullptr ? std::optional(make_choice(*best, criteria, random, now))
                           : std::nullopt;
}

server_choice server_pool::make_choice(const row& it,
                                       const server_criteria& criteria,
                                       std::minstd_rand& random,
                                       time_point now) const
{
    const basis on = basis_of(it);
    const unsigned estimate = it.own_requests + requests_of_others(it, on, now);
    const unsigned load = load_of(it, criteria.owner_load.value_or(estimate), now);
    const double service_us = expected_service_us(it, on, now);
    const double latency_us =
        queueing_factor(load, it.entry.slots) * service_us + service_us;
    return {it.entry.id,
            it.entry.incarnation,
            it.entry.address,
            from_us(latency_us),
            load,
            from_us(service_us),
            it.entry.slots,
            {it.answers,
             now - it.estimated_at,
             now - it.tested_at,
             is_probe_due(it, load, criteria, now)},
            draw_probe_after(random),
            counted_at(it, criteria),
            room_in(it, criteria, now),
            criteria.bytes,
            held_with(it, criteria),
            expect_with_reports(it, criteria, now)};
}

report_expectation server_pool::expect_with_reports(const row& it,
                                                    const server_criteria& criteria,
                                                    time_point now) const
{
    report_expectation made;
    if (!it.reported.is_known())
    {
        return made;
    }
    const auto load_on = [&](basis on)
    {
        const unsigned estimate = it.own_requests + requests_of_others(it, on, now);
        return load_of(it, criteria.owner_load.value_or(estimate), now);
    };
    const auto latency_on = [&](basis on, unsigned load)
    {
        return from_us((1 + queueing_factor(load, it.entry.slots)) *
                       expected_service_us(it, on, now));
    };
    made.is_known = true;
    made.slowness = it.reported.slowness(now);
    made.load_with = load_on(basis::reported);
    made.load_without = load_on(basis::counted);
    made.latency_with = latency_on(basis::reported, made.load_with);
    made.latency_without = latency_on(basis::counted, made.load_without);
    return made;
}

bool server_pool::is_probe_due(const row& it,
                               unsigned load,
                               const server_criteria& criteria,
                               time_point now) const
{
    if (load <= it.entry.slots)
    {
        return now >= it.tested_at + it.probe_after;
    }
    const bool may_lengthen_queue = !criteria.owner && load < 2 * it.entry.slots;
    return may_lengthen_queue && now >= it.tested_at + it.probe_after * gateways_;
}

duration server_pool::draw_probe_after(std::minstd_rand& random) const
{
    std::uniform_int_distribution<duration::rep> draw(options_.first_probe_after.count(),
                                                      options_.last_probe_after.count());
    return duration(draw(random));
}

void server_pool::note_test(row& it, const server_choice& to, time_point now)
{
    it.tested_at = now;
    it.probe_after = to.probe_after;
}

void server_pool::attempt_started(const server_choice& to, time_point now)
{
    auto it = rows_.find(to.server);
    if (it != rows_.end())
    {
        ++it->second.own_requests;
        it->second.own_bytes += to.bytes;
        note_test(it->second, to, now);
    }
}

void server_pool::attempt_ended(const server_choice& to,
                                attempt_end how,
                                duration elapsed,
                                time_point now)
{
    auto found = rows_.find(to.server);
    if (found == rows_.end())
    {
        return;
    }
    row& it = found->second;
    const held_load held{counted_at(it, {}), it.own_bytes};
    it.own_requests -= it.own_requests > 0 ? 1 : 0;
    it.own_bytes -= std::min(it.own_bytes, to.bytes);
    const bool accepted_key = how == attempt_end::answered || how == attempt_end::shed ||
                              how == attempt_end::server_error;
    it.refusals = accepted_key ? 0 : it.refusals;
    const bool has_answered =
        how == attempt_end::answered || how == attempt_end::server_error;
    it.is_pause_tested = it.is_pause_tested || (has_answered && now >= it.paused_until);
    if (has_answered)
    {
        it.fullness.note_answer({now - elapsed, to.counted, to.expected_latency}, now);
        borne_.note_answer(to.sum, now);
        it.lost_at.reset();
    }
    switch (how)
    {
    case attempt_end::answered:
        it.failures = 0;
        it.suspended_until = {};
        update_failure_rate(it, 0, now);
        compare_reports(it, to, elapsed);
        update_service_time(it, to, elapsed, now);
        note_test(it, to, now);
        break;
    case attempt_end::shed:
        it.full_until = now + options_.full_duration;
        if (to.counted >= it.entry.slots && it.is_usable)
        {
            shed_at_ = now;
        }
        it.has_lost_trust = it.reported.note_refusal() || it.has_lost_trust;
        break;
    case attempt_end::unreachable:
        it.fullness.note_unreachable(now);
        note_possible_death(it, now);
        note_failed_attempt(it, true, now);
        break;
    case attempt_end::other_server:
        note_failed_attempt(it, true, now);
        break;
    case attempt_end::lost:
        note_loss(it, {std::max(held.requests, to.sum.requests), held.bytes}, now);
        note_failed_attempt(it, false, now);
        break;
    case attempt_end::server_error:
        note_failed_attempt(it, false, now);
        break;
    case attempt_end::not_owner:
        note_key_refusal(it, now);
        break;
    case attempt_end::cancelled:
        break;
    }
}

void server_pool::note_key_refusal(row& it, time_point now)
{
    ++it.refusals;
    if (it.refusals >= options_.refusals_to_suspect)
    {
        it.suspected_until =
            now + exponential_backoff(options_.first_suspicion,
                                      it.refusals - options_.refusals_to_suspect,
                                      options_.max_suspicion);
    }
}

void server_pool::update_service_time(row& it,
                                      const server_choice& to,
                                      duration elapsed,
                                      time_point now)
{
    const auto sample_behind = [&](unsigned load)
    {
        return to_us(elapsed) / (1.0 + queueing_factor(load, it.entry.slots));
    };
    const bool is_reported = to.reports.is_known;
    const double sample = sample_behind(is_reported ? to.reports.load_without : to.load);
    // Half of the time is counted with the slowness at its start, half with that at its
    // end.
    const double usual_part =
        it.reported.is_known()
            ? (1 / to.reports.slowness + 1 / it.reported.slowness(now)) / 2
            : 1;
    const double usual_sample =
        usual_part * sample_behind(is_reported ? to.reports.load_with : to.load);
    const double smoothing = std::max(options_.smoothing, estimate_decay(it, now));
    const auto renew = [&](basis on, double newest)
    {
        const double estimated_us = estimated_service_us(it, on, now);
        return estimated_us + smoothing * (newest - estimated_us);
    };
    it.average_service_us = renew(basis::counted, sample);
    it.usual_service_us = renew(basis::reported, usual_sample);
    it.estimated_at = now;
    ++it.answers;
    const double mean_smoothing = options_.smoothing / std::max<double>(1, rows_.size());
    const double counted = basis_of(it) == basis::reported ? usual_sample : sample;
    mean_service_us_ += mean_smoothing * (counted - mean_service_us_);
    ++it.measured_answers;
    it.measured_us += counted;
}

void server_pool::compare_reports(row& it, const server_choice& to, duration elapsed)
{
    if (!to.reports.is_known)
    {
        return;
    }
    const bool is_lost = it.reported.compare(
        {to.reports.latency_with, to.reports.latency_without, elapsed});
    it.has_lost_trust = it.has_lost_trust || is_lost;
}

bool server_pool::observe_report(const server_id& server,
                                 const server_incarnation& incarnation,
                                 const server_load& load,
                                 time_point now)
{
    const auto found = rows_.find(server);
    if (found == rows_.end() || found->second.entry.incarnation != incarnation)
    {
        return false;
    }
    row& it = found->second;
    // The answered request is no longer among those that the server reports.
    const unsigned own = it.own_requests > 0 ? it.own_requests - 1 : 0;
    it.is_report_new = take_report(it, load, own, now) || it.is_report_new;
    return true;
}

// More requests than a server of its kind could hold are no sensible figure.
bool server_pool::take_report(row& it,
                              const server_load& load,
                              unsigned own,
                              time_point at)
{
    constexpr unsigned max_overfull = 8; // of its slots and queue, as far as known
    const unsigned room = it.entry.slots + options_.queue_length;
    const bool is_possible = load.running + load.waiting <= max_overfull * room;
    const bool is_taken = is_possible && it.reported.observe(load, own, at);
    has_reports_ = has_reports_ || is_taken;
    return is_taken;
}

bool server_pool::note_unreadable_report(const server_id& server,
                                         const server_incarnation& incarnation)
{
    const auto found = rows_.find(server);
    if (found == rows_.end() || found->second.entry.incarnation != incarnation)
    {
        return false;
    }
    return !std::exchange(found->second.has_unreadable_report, true);
}

void server_pool::adopt_reports(const std::vector<aged_server_report>& reports,
                                time_point now)
{
    for (const aged_server_report& report : reports)
    {
        const auto id = ids_by_tag_.find(report.server.value);
        if (id == ids_by_tag_.end())
        {
            continue;
        }
        row& it = rows_.at(id->second);
        if (it.entry.incarnation != report.incarnation)
        {
            continue;
        }
        const bool is_newer =
            take_report(it, report.load, it.own_requests, now - report.age);
        it.is_report_new = it.is_report_new && !is_newer;
    }
}

void server_pool::take_reports(std::vector<aged_server_report>& to,
                               std::size_t max_rows,
                               time_point now)
{
    if (!has_reports_)
    {
        return;
    }
    for (auto& [id, it] : rows_)
    {
        if (!it.is_report_new || to.size() >= max_rows)
        {
            continue;
        }
        it.is_report_new = false;
        if (it.reported.is_trusted())
        {
            to.push_back({it.tag,
                          it.entry.incarnation,
                          it.reported.latest(),
                          now - it.reported.observed_at()});
        }
    }
}

bool server_pool::take_lost_trust(const server_id& server)
{
    const auto found = rows_.find(server);
    return found != rows_.end() && std::exchange(found->second.has_lost_trust, false);
}

void server_pool::note_failed_attempt(row& it, bool is_unreachable, time_point now)
{
    ++it.failures;
    it.was_unreachable = is_unreachable;
    update_failure_rate(it, 1, now);
    const unsigned threshold = is_unreachable ? 1 : options_.failures_to_suspend;
    if (it.failures < threshold)
    {
        return;
    }
    it.suspended_until = now + exponential_backoff(options_.first_suspension,
                                                   it.failures - threshold,
                                                   options_.max_suspension);
}

double server_pool::failure_rate(const row& it, time_point now) const
{
    const double age =
        to_us(now - it.failure_rate_at) / to_us(options_.failure_decay_time);
    return it.failure_rate * std::exp(-age);
}

void server_pool::update_failure_rate(row& it, double failure, time_point now)
{
    const double decayed = failure_rate(it, now);
    it.failure_rate = decayed + options_.smoothing * (failure - decayed);
    it.failure_rate_at = now;
}

void server_pool::set_remote_loads(const remote_loads& loads, unsigned gateways)
{
    const unsigned reporting = static_cast<unsigned>(loads.sender_count()) + 1;
    for (auto& [id, it] : rows_)
    {
        it.remote_requests = loads.requests_at(id, gateways);
        it.reported_requests = loads.requests_at(id, reporting);
    }
    gateways_ = std::max(1U, gateways);
    spread_ = options_.preference_spread * (gateways_ - 1) / gateways_;
    is_covered_ = loads.sender_count() + 1 >= gateways_;
    const unsigned mean_load = mean_in_group_load();
    for (auto& [id, it] : rows_)
    {
        if (!it.is_in_group)
        {
            it.remote_requests = std::max(it.remote_requests, mean_load);
            it.reported_requests = std::max(it.reported_requests, mean_load);
        }
    }
}

void server_pool::set_group_servers(const std::set<server_id>& in_group)
{
    for (auto& [id, it] : rows_)
    {
        it.is_in_group = in_group.contains(id);
    }
}

unsigned server_pool::mean_in_group_load() const
{
    unsigned servers = 0;
    unsigned requests = 0;
    for (const auto& [id, it] : rows_)
    {
        const bool counts = it.is_in_group && it.is_usable;
        servers += counts ? 1 : 0;
        requests += counts ? it.own_requests + it.remote_requests : 0;
    }
    return servers == 0 ? 0 : (requests + servers / 2) / servers;
}

void server_pool::add_in_flight(std::vector<server_requests>& to, time_point now) const
{
    const bool counts_given_up = is_without_answer_when_full(now);
    for (const auto& [id, it] : rows_)
    {
        const unsigned given_up = counts_given_up ? it.fullness.given_up(now) : 0;
        const unsigned requests = own_counted(it) + given_up;
        if (requests > 0)
        {
            to.push_back({tag_of(id), requests});
        }
    }
}

void server_pool::take_service_times(std::vector<server_service_time>& to)
{
    for (auto& [id, it] : rows_)
    {
        if (it.measured_answers > 0)
        {
            to.push_back({tag_of(id),
                          std::exchange(it.measured_answers, 0),
                          from_us(std::exchange(it.measured_us, 0))});
        }
    }
}

duration server_pool::mean_service_time() const
{
    return from_us(mean_service_us_);
}

bool server_pool::is_server_unreachable(const server_id& server, time_point now) const
{
    auto it = rows_.find(server);
    return it != rows_.end() && it->second.was_unreachable &&
           now < it->second.suspended_until;
}

double server_pool::capacity(const server_id& server, time_point now) const
{
    auto it = rows_.find(server);
    if (it == rows_.end())
    {
        return 1e6 / mean_service_us_;
    }
    // A few answers are weak evidence about one server, so its average is moved halfway
    // to the mean of the service.
    const double estimated_us =
        (estimated_service_us(it->second, basis_of(it->second), now) + mean_service_us_) /
        2;
    return 1e6 * std::max(1U, it->second.entry.slots) / std::max(estimated_us, 1.0);
}

unsigned server_pool::in_flight(const server_id& server) const
{
    auto it = rows_.find(server);
    return it == rows_.end() ? 0 : it->second.own_requests;
}

std::size_t server_pool::usable_count(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        rows_.begin(),
        rows_.end(),
        [&](const auto& it)
        { return it.second.is_usable && now >= it.second.suspended_until; }));
}

} // namespace camphorrock
