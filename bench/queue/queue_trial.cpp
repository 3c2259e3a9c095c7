#include "bench/queue/queue_trial.hpp"

#include "bench/queue/scripted_server.hpp"
#include "bench/queue/workload.hpp"

#include <algorithm>
#include <queue>
#include <random>

namespace camphorrock
{
namespace
{

// Time from the start of an attempt that the server sheds or fails to its answer.
constexpr duration fast_failure_time = milliseconds(1);

enum class event_kind
{
    arrival,          // subject: index of the scripted request
    retry,            // subject: index of the scripted request
    work_end,         // subject: ticket whose service ends
    fast_failure_end, // subject: ticket, which the server shed or failed
    deadline,         // subject: ticket whose deadline has passed
    tick,             // requested by next_tick() of the policy
    phase_change,     // the server enters its next phase
};

struct trial_event
{
    time_point at;
    std::uint64_t sequence = 0; // breaks ties by the order of scheduling
    event_kind kind = event_kind::tick;
    std::size_t subject = 0;

    friend bool operator>(const trial_event& a, const trial_event& b)
    {
        return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
    }
};

enum class attempt_state
{
    waiting,
    started,
    ended,
};

// One attempt at a scripted request.
struct attempt
{
    std::size_t request = 0; // index of the scripted request
    time_point arrival;
    time_point deadline;
    time_point started_at;       // when the policy started it
    time_point service_began_at; // when it got a slot of the server
    attempt_state state = attempt_state::waiting;
    answer_kind fast_failure = answer_kind::good; // shed or failed, if it was one of them
};

struct request_progress
{
    unsigned attempts = 0;
    bool is_answered = false; // before the deadline of an attempt
};

class queue_trial
{
public:
    queue_trial(const queue_scenario& scenario,
                const named_policy& policy,
                std::uint64_t seed)
        : scenario_(scenario), cancels_at_deadline_(policy.cancels_at_deadline),
          random_(seed), policy_(policy.create(scenario.slots, random_)),
          server_(scenario), requests_(draw_requests(scenario, seed)),
          progress_(requests_.size()), caller_names_(make_caller_names(scenario.callers))
    {
        const auto length_s =
            std::chrono::duration_cast<std::chrono::seconds>(scenario.length);
        metrics_.goodput_per_second.resize(static_cast<std::size_t>(length_s.count()));
        metrics_.total_slot_time = measured_slot_time();
    }

    queue_metrics run()
    {
        for (const server_phase& it : scenario_.server_phases)
        {
            schedule_event(time_point(it.from), event_kind::phase_change, 0);
        }
        schedule_arrival(0);
        const time_point end(scenario_.length);
        while (!events_.empty() && events_.top().at < end)
        {
            const trial_event next = events_.top();
            events_.pop();
            now_ = next.at;
            process_event(next);
            schedule_tick();
        }
        return std::move(metrics_);
    }

private:
    static std::vector<caller_name> make_caller_names(std::size_t n)
    {
        std::vector<caller_name> names;
        for (std::size_t i = 0; i < n; ++i)
        {
            names.emplace_back("caller-" + std::to_string(i));
        }
        return names;
    }

    void process_event(const trial_event& event)
    {
        queue_actions out;
        switch (event.kind)
        {
        case event_kind::arrival:
            on_arrival(event.subject, out);
            break;
        case event_kind::retry:
            on_retry(event.subject, out);
            break;
        case event_kind::work_end:
            on_work_end(event.subject, out);
            break;
        case event_kind::fast_failure_end:
            on_fast_failure_end(event.subject, out);
            break;
        case event_kind::deadline:
            on_deadline(event.subject, out);
            break;
        case event_kind::tick:
            policy_->tick(now_, out);
            break;
        case event_kind::phase_change:
            call_server([&](auto& begun) { server_.advance(now_, begun); });
            break;
        }
        apply_actions(out);
    }

    void on_arrival(std::size_t index, queue_actions& out)
    {
        const scripted_request& request = requests_[index];
        if (is_measured(request.arrival))
        {
            ++kind_metrics_of(request).offered;
            metrics_.other_callers.offered += request.caller == 0 ? 0 : 1;
        }
        schedule_arrival(index + 1);
        send_attempt(index, out);
    }

    void on_retry(std::size_t index, queue_actions& out)
    {
        if (!progress_[index].is_answered)
        {
            send_attempt(index, out);
        }
    }

    // Sends one attempt. In a retry phase the next one follows after attempt_timeout
    // unless the request is answered by then.
    void send_attempt(std::size_t index, queue_actions& out)
    {
        const scripted_request& request = requests_[index];
        const ticket id{attempts_.size()};
        const time_point deadline = now_ + (request.deadline - request.arrival);
        attempts_.push_back({index, now_, deadline, {}, {}, {}, {}});
        ++progress_[index].attempts;
        schedule_event(deadline, event_kind::deadline, id.value);
        if (const retry_phase* phase = active_retry_phase(index))
        {
            schedule_event(now_ + phase->attempt_timeout, event_kind::retry, index);
        }
        const char* route = request.is_long ? "report" : "lookup";
        policy_->arrive(
            {id, caller_names_[request.caller], route_class(route), deadline, true},
            now_,
            out);
    }

    // The retry phase in force, or null if there is none or the request has no attempts
    // left.
    const retry_phase* active_retry_phase(std::size_t index) const
    {
        for (const retry_phase& it : scenario_.retry_phases)
        {
            const duration at = now_.time_since_epoch();
            if (it.from <= at && at < it.to &&
                progress_[index].attempts < it.max_attempts)
            {
                return &it;
            }
        }
        return nullptr;
    }

    void apply_actions(queue_actions& out)
    {
        for (std::size_t i = 0; i < out.size(); ++i)
        {
            if (const auto* start = std::get_if<start_request>(&out[i]))
            {
                start_attempt(start->id);
            }
            else
            {
                refuse_attempt(std::get<refuse_request>(out[i]));
            }
        }
    }

    void start_attempt(ticket id)
    {
        attempt& it = attempts_[id.value];
        it.state = attempt_state::started;
        it.started_at = now_;
        const scripted_request& request = requests_[it.request];
        const server_phase& phase =
            phase_at(scenario_.server_phases, now_.time_since_epoch());
        if (request.failure_draw < phase.failure_rate)
        {
            schedule_fast_failure(id, answer_kind::failed);
            return;
        }
        bool is_accepted = false;
        call_server(
            [&](auto& begun)
            { is_accepted = server_.offer(id, request.service_time, now_, begun); });
        if (!is_accepted)
        {
            ++metrics_.shed;
            schedule_fast_failure(id, answer_kind::shed);
        }
    }

    void schedule_fast_failure(ticket id, answer_kind kind)
    {
        attempts_[id.value].fast_failure = kind;
        schedule_event(now_ + fast_failure_time, event_kind::fast_failure_end, id.value);
    }

    void refuse_attempt(const refuse_request& refusal)
    {
        attempt& it = attempts_[refusal.id.value];
        it.state = attempt_state::ended;
        if (is_measured(it.arrival))
        {
            const bool is_queue_full = refusal.reason == refusal_reason::queue_full;
            ++(is_queue_full ? metrics_.refused_queue_full
                             : metrics_.refused_for_deadline);
            const scripted_request& request = requests_[it.request];
            const std::chrono::duration<float, std::milli> refused_after =
                now_ - it.arrival;
            metrics_.refused_long += request.is_long ? 1 : 0;
            kind_metrics_of(request).refused_after_ms.push_back(refused_after.count());
        }
        if (const retry_phase* phase = active_retry_phase(it.request))
        {
            schedule_event(now_ + phase->retry_delay, event_kind::retry, it.request);
        }
    }

    void on_work_end(std::size_t subject, queue_actions& out)
    {
        attempt& it = attempts_[subject];
        if (it.state != attempt_state::started)
        {
            return;
        }
        it.state = attempt_state::ended;
        call_server([&](auto& begun) { server_.remove(ticket{subject}, now_, begun); });
        if (now_ <= it.deadline)
        {
            count_answer(it);
        }
        policy_->finished(
            ticket{subject}, {answer_kind::good, now_ - it.started_at}, now_, out);
    }

    // Counts the first answer to a request; later ones are of no use to the caller.
    void count_answer(const attempt& it)
    {
        request_progress& progress = progress_[it.request];
        if (progress.is_answered)
        {
            return;
        }
        progress.is_answered = true;
        const scripted_request& request = requests_[it.request];
        const auto second = std::chrono::floor<seconds>(now_.time_since_epoch());
        metrics_.goodput_per_second[static_cast<std::size_t>(second.count())] += 1;
        metrics_.useful_slot_time += measured_overlap(it.service_began_at, now_);
        if (is_measured(request.arrival))
        {
            ++kind_metrics_of(request).within_deadline;
            metrics_.other_callers.within_deadline += request.caller == 0 ? 0 : 1;
        }
    }

    void on_fast_failure_end(std::size_t subject, queue_actions& out)
    {
        attempt& it = attempts_[subject];
        if (it.state != attempt_state::started)
        {
            return;
        }
        it.state = attempt_state::ended;
        policy_->finished(
            ticket{subject}, {it.fast_failure, now_ - it.started_at}, now_, out);
        if (const retry_phase* phase = active_retry_phase(it.request))
        {
            schedule_event(now_ + phase->retry_delay, event_kind::retry, it.request);
        }
    }

    void on_deadline(std::size_t subject, queue_actions& out)
    {
        attempt& it = attempts_[subject];
        if (it.state == attempt_state::ended || !cancels_at_deadline_)
        {
            return;
        }
        const bool was_started = it.state == attempt_state::started;
        it.state = attempt_state::ended;
        if (!was_started)
        {
            policy_->cancelled(ticket{subject}, now_, out);
            return;
        }
        call_server([&](auto& begun) { server_.remove(ticket{subject}, now_, begun); });
        policy_->finished(
            ticket{subject}, {answer_kind::timed_out, now_ - it.started_at}, now_, out);
    }

    // Runs `call` on the server and schedules the end of each request that it began.
    template<class Call>
    void call_server(Call&& call)
    {
        std::vector<begun_work> begun;
        call(begun);
        for (const begun_work& it : begun)
        {
            attempt& begun_attempt = attempts_[it.id.value];
            begun_attempt.service_began_at = it.began_at;
            schedule_event(it.ends_at, event_kind::work_end, it.id.value);
            if (is_measured(begun_attempt.arrival))
            {
                const std::chrono::duration<float, std::milli> wait =
                    it.began_at - begun_attempt.arrival;
                kind_metrics_of(requests_[begun_attempt.request])
                    .waits_ms.push_back(wait.count());
            }
        }
    }

    void schedule_tick()
    {
        const std::optional<time_point> at = policy_->next_tick();
        if (at && *at != next_tick_at_)
        {
            next_tick_at_ = *at;
            schedule_event(std::max(*at, now_), event_kind::tick, 0);
        }
    }

    void schedule_arrival(std::size_t index)
    {
        if (index < requests_.size())
        {
            schedule_event(requests_[index].arrival, event_kind::arrival, index);
        }
    }

    void schedule_event(time_point at, event_kind kind, std::size_t subject)
    {
        events_.push({at, next_sequence_++, kind, subject});
    }

    kind_metrics& kind_metrics_of(const scripted_request& request)
    {
        return request.is_long ? metrics_.long_requests : metrics_.short_requests;
    }

    bool has_peak() const
    {
        return std::any_of(scenario_.load_phases.begin(),
                           scenario_.load_phases.end(),
                           [](const load_phase& it) { return it.is_peak; });
    }

    bool is_measured(time_point at) const
    {
        const duration offset = at.time_since_epoch();
        if (offset < scenario_.warm_up)
        {
            return false;
        }
        return !has_peak_ || phase_at(scenario_.load_phases, offset).is_peak;
    }

    // The length of the part of [begin, end) that lies in the measured windows.
    duration measured_overlap(time_point begin, time_point end) const
    {
        duration sum{};
        for (std::size_t i = 0; i < scenario_.load_phases.size(); ++i)
        {
            const load_phase& it = scenario_.load_phases[i];
            if (has_peak_ && !it.is_peak)
            {
                continue;
            }
            const bool is_last = i + 1 == scenario_.load_phases.size();
            const duration until =
                is_last ? scenario_.length : scenario_.load_phases[i + 1].from;
            const duration from = std::max(it.from, scenario_.warm_up);
            const duration first = std::max(from, begin.time_since_epoch());
            const duration last = std::min(until, end.time_since_epoch());
            sum += std::max(duration{}, last - first);
        }
        return sum;
    }

    duration measured_slot_time() const
    {
        const duration per_slot =
            measured_overlap(time_point{}, time_point(scenario_.length));
        return per_slot * static_cast<duration::rep>(scenario_.slots);
    }

    const queue_scenario& scenario_;
    const bool cancels_at_deadline_;
    const bool has_peak_ = has_peak();
    std::mt19937_64 random_;
    std::unique_ptr<queue_policy> policy_;
    scripted_server server_;
    std::vector<scripted_request> requests_;
    std::vector<request_progress> progress_;
    std::vector<caller_name> caller_names_;
    std::vector<attempt> attempts_;
    std::priority_queue<trial_event, std::vector<trial_event>, std::greater<>> events_;
    std::uint64_t next_sequence_ = 0;
    time_point now_;
    time_point next_tick_at_ = time_point::max();
    queue_metrics metrics_;
};

} // namespace

queue_metrics run_queue_trial(const queue_scenario& scenario,
                              const named_policy& policy,
                              std::uint64_t seed)
{
    return queue_trial(scenario, policy, seed).run();
}

queue_metrics run_queue_trials(const queue_scenario& scenario,
                               const named_policy& policy,
                               std::uint64_t seed,
                               std::size_t servers)
{
    queue_metrics sum;
    for (std::size_t i = 0; i < servers; ++i)
    {
        sum.add(run_queue_trial(scenario, policy, seed + i));
    }
    return sum;
}

} // namespace camphorrock
