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

// The time in which a shed or failed answer comes back.
constexpr duration quick_answer = milliseconds(1);

enum class event_kind
{
    arrival,      // subject: index of the scripted request
    retry,        // subject: index of the scripted request
    work_end,     // subject: ticket
    quick_end,    // subject: ticket, shed or failed
    give_up,      // subject: ticket whose deadline has come
    tick,         // the policy wants one
    phase_change, // the server's behaviour changes
};

struct trial_event
{
    time_point at;
    std::uint64_t sequence = 0; // ties go by order of making
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

// One sending of a scripted request.
struct attempt
{
    std::size_t request = 0;
    time_point arrival;
    time_point deadline;
    time_point started;
    time_point begin; // when it got a slot of the server
    attempt_state state = attempt_state::waiting;
    answer_kind quick = answer_kind::good; // shed or failed
};

struct request_progress
{
    unsigned attempts = 0;
    bool answered = false;
};

class queue_trial
{
public:
    queue_trial(const queue_scenario& scenario,
                const named_policy& policy,
                std::uint64_t seed)
        : scenario_(scenario), sees_callers_leave_(policy.sees_callers_leave),
          random_(seed), policy_(policy.create(scenario.slots, random_)),
          server_(scenario), requests_(draw_requests(scenario, seed)),
          progress_(requests_.size()), names_(caller_names(scenario.callers))
    {
        const auto length_s =
            std::chrono::duration_cast<std::chrono::seconds>(scenario.length);
        metrics_.good_per_second.resize(static_cast<std::size_t>(length_s.count()));
        metrics_.slot_time = measured_slot_time();
    }

    queue_metrics run()
    {
        for (const server_phase& it : scenario_.server)
        {
            push(time_point(it.from), event_kind::phase_change, 0);
        }
        push_arrival(0);
        const time_point end(scenario_.length);
        while (!events_.empty() && events_.top().at < end)
        {
            const trial_event next = events_.top();
            events_.pop();
            now_ = next.at;
            handle(next);
            want_tick();
        }
        return std::move(metrics_);
    }

private:
    static std::vector<caller_name> caller_names(std::size_t n)
    {
        std::vector<caller_name> names;
        for (std::size_t i = 0; i < n; ++i)
        {
            names.emplace_back("caller-" + std::to_string(i));
        }
        return names;
    }

    void handle(const trial_event& what)
    {
        queue_actions out;
        switch (what.kind)
        {
        case event_kind::arrival:
            on_arrival(what.subject, out);
            break;
        case event_kind::retry:
            on_retry(what.subject, out);
            break;
        case event_kind::work_end:
            on_work_end(what.subject, out);
            break;
        case event_kind::quick_end:
            on_quick_end(what.subject, out);
            break;
        case event_kind::give_up:
            on_give_up(what.subject, out);
            break;
        case event_kind::tick:
            policy_->tick(now_, out);
            break;
        case event_kind::phase_change:
            begin_work([&](auto& begun) { server_.advance(now_, begun); });
            break;
        }
        carry_out(out);
    }

    void on_arrival(std::size_t index, queue_actions& out)
    {
        const scripted_request& request = requests_[index];
        if (is_measured(request.arrival))
        {
            ++kind(request).offered;
            metrics_.other_callers.offered += request.caller == 0 ? 0 : 1;
        }
        push_arrival(index + 1);
        send(index, out);
    }

    void on_retry(std::size_t index, queue_actions& out)
    {
        if (!progress_[index].answered)
        {
            send(index, out);
        }
    }

    // One attempt; in a retry phase the next one follows unless an answer comes.
    void send(std::size_t index, queue_actions& out)
    {
        const scripted_request& request = requests_[index];
        const ticket id{attempts_.size()};
        const time_point deadline = now_ + (request.deadline - request.arrival);
        attempts_.push_back({index, now_, deadline, {}, {}, {}, {}});
        ++progress_[index].attempts;
        push(deadline, event_kind::give_up, id.value);
        if (const retry_phase* retries = retries_now(index))
        {
            push(now_ + retries->patience, event_kind::retry, index);
        }
        const char* route = request.is_long ? "report" : "lookup";
        policy_->arrive(
            {id, names_[request.caller], route_class(route), deadline, true}, now_, out);
    }

    // The retry phase in force for that request, or null.
    const retry_phase* retries_now(std::size_t index) const
    {
        for (const retry_phase& it : scenario_.retries)
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

    void carry_out(queue_actions& out)
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
        it.started = now_;
        const scripted_request& request = requests_[it.request];
        const server_phase& as = phase_at(scenario_.server, now_.time_since_epoch());
        if (request.failure_draw < as.failed)
        {
            end_quickly(id, answer_kind::failed);
            return;
        }
        bool taken = false;
        begin_work([&](auto& begun)
                   { taken = server_.offer(id, request.service, now_, begun); });
        if (!taken)
        {
            ++metrics_.shed;
            end_quickly(id, answer_kind::shed);
        }
    }

    void end_quickly(ticket id, answer_kind as)
    {
        attempts_[id.value].quick = as;
        push(now_ + quick_answer, event_kind::quick_end, id.value);
    }

    void refuse_attempt(const refuse_request& refusal)
    {
        attempt& it = attempts_[refusal.id.value];
        it.state = attempt_state::ended;
        if (is_measured(it.arrival))
        {
            const bool full = refusal.reason == refusal_reason::queue_full;
            ++(full ? metrics_.refused_full : metrics_.refused_deadline);
            const scripted_request& request = requests_[it.request];
            const std::chrono::duration<float, std::milli> after = now_ - it.arrival;
            metrics_.refused_long += request.is_long ? 1 : 0;
            kind(request).refused_after_ms.push_back(after.count());
        }
        if (const retry_phase* retries = retries_now(it.request))
        {
            push(now_ + retries->pause, event_kind::retry, it.request);
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
        begin_work([&](auto& begun) { server_.leave(ticket{subject}, now_, begun); });
        if (now_ <= it.deadline)
        {
            count_answer(it);
        }
        policy_->finished(
            ticket{subject}, {answer_kind::good, now_ - it.started}, now_, out);
    }

    // Only the first answer to a request is of use.
    void count_answer(const attempt& it)
    {
        request_progress& progress = progress_[it.request];
        if (progress.answered)
        {
            return;
        }
        progress.answered = true;
        const scripted_request& request = requests_[it.request];
        const auto second = std::chrono::floor<seconds>(now_.time_since_epoch());
        metrics_.good_per_second[static_cast<std::size_t>(second.count())] += 1;
        metrics_.useful += measured_part(it.begin, now_);
        if (is_measured(request.arrival))
        {
            ++kind(request).within_deadline;
            metrics_.other_callers.within_deadline += request.caller == 0 ? 0 : 1;
        }
    }

    void on_quick_end(std::size_t subject, queue_actions& out)
    {
        attempt& it = attempts_[subject];
        if (it.state != attempt_state::started)
        {
            return;
        }
        it.state = attempt_state::ended;
        policy_->finished(ticket{subject}, {it.quick, now_ - it.started}, now_, out);
        if (const retry_phase* retries = retries_now(it.request))
        {
            push(now_ + retries->pause, event_kind::retry, it.request);
        }
    }

    void on_give_up(std::size_t subject, queue_actions& out)
    {
        attempt& it = attempts_[subject];
        if (it.state == attempt_state::ended || !sees_callers_leave_)
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
        begin_work([&](auto& begun) { server_.leave(ticket{subject}, now_, begun); });
        policy_->finished(
            ticket{subject}, {answer_kind::timed_out, now_ - it.started}, now_, out);
    }

    // Runs a call to the server and schedules the end of what it began.
    template<class Call>
    void begin_work(Call&& call)
    {
        std::vector<begun_work> begun;
        call(begun);
        for (const begun_work& it : begun)
        {
            attempt& of = attempts_[it.id.value];
            of.begin = it.begin;
            push(it.end, event_kind::work_end, it.id.value);
            if (is_measured(of.arrival))
            {
                const std::chrono::duration<float, std::milli> wait =
                    it.begin - of.arrival;
                kind(requests_[of.request]).waits_ms.push_back(wait.count());
            }
        }
    }

    void want_tick()
    {
        const std::optional<time_point> at = policy_->next_tick();
        if (at && *at != tick_at_)
        {
            tick_at_ = *at;
            push(std::max(*at, now_), event_kind::tick, 0);
        }
    }

    void push_arrival(std::size_t index)
    {
        if (index < requests_.size())
        {
            push(requests_[index].arrival, event_kind::arrival, index);
        }
    }

    void push(time_point at, event_kind kind, std::size_t subject)
    {
        events_.push({at, sequence_++, kind, subject});
    }

    kind_metrics& kind(const scripted_request& request)
    {
        return request.is_long ? metrics_.long_work : metrics_.short_work;
    }

    bool has_crest() const
    {
        return std::any_of(scenario_.load.begin(),
                           scenario_.load.end(),
                           [](const load_phase& it) { return it.is_crest; });
    }

    bool is_measured(time_point at) const
    {
        const duration offset = at.time_since_epoch();
        if (offset < scenario_.warm_up)
        {
            return false;
        }
        return !has_crest_ || phase_at(scenario_.load, offset).is_crest;
    }

    // The part of a span that lies in the measured windows.
    duration measured_part(time_point begin, time_point end) const
    {
        duration sum{};
        for (std::size_t i = 0; i < scenario_.load.size(); ++i)
        {
            const load_phase& it = scenario_.load[i];
            if (has_crest_ && !it.is_crest)
            {
                continue;
            }
            const bool is_last = i + 1 == scenario_.load.size();
            const duration until =
                is_last ? scenario_.length : scenario_.load[i + 1].from;
            const duration from = std::max(it.from, scenario_.warm_up);
            const duration first = std::max(from, begin.time_since_epoch());
            const duration last = std::min(until, end.time_since_epoch());
            sum += std::max(duration{}, last - first);
        }
        return sum;
    }

    duration measured_slot_time() const
    {
        const duration one = measured_part(time_point{}, time_point(scenario_.length));
        return one * static_cast<duration::rep>(scenario_.slots);
    }

    const queue_scenario& scenario_;
    const bool sees_callers_leave_;
    const bool has_crest_ = has_crest();
    std::mt19937_64 random_;
    std::unique_ptr<queue_policy> policy_;
    scripted_server server_;
    std::vector<scripted_request> requests_;
    std::vector<request_progress> progress_;
    std::vector<caller_name> names_;
    std::vector<attempt> attempts_;
    std::priority_queue<trial_event, std::vector<trial_event>, std::greater<>> events_;
    std::uint64_t sequence_ = 0;
    time_point now_;
    time_point tick_at_ = time_point::max();
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
