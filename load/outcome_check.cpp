#include "load/outcome_check.hpp"

#include "core/base/outcome.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace camphorrock
{
namespace
{

constexpr std::string_view answered = "answered";

// An id is unique only within its service.
struct service_id
{
    service_name service;
    request_id id;

    auto operator<=>(const service_id&) const = default;
};

// Returns nullopt if there was no answer or it had no valid outcome.
std::optional<outcome> reported_outcome(const attempt_record& attempt)
{
    return attempt.ended == answered ? parse_outcome(attempt.outcome) : std::nullopt;
}

std::string describe_run(const run_start_record& run)
{
    return "run " + run.run + " at " + std::to_string(run.at) + " us";
}

// Returns the violation, if any, of an attempt whose outcome is ran.
std::optional<violation>
find_answer_violation(const attempt_record& it,
                      const std::map<std::string, const run_start_record*>& runs)
{
    if (!it.is_answer_complete)
    {
        return violation{violation_kind::cut_answer,
                         it.attempt,
                         "status " + std::to_string(it.status)};
    }
    auto run = runs.find(it.answer_run);
    if (run == runs.end())
    {
        return violation{violation_kind::never_ran, it.attempt, "run " + it.answer_run};
    }
    bool is_own_answer =
        it.answer_key == it.key && it.answer_tag == it.tag && it.answer_id == it.id;
    bool is_own_run = run->second->tag == it.tag && run->second->service == it.service;
    if (!is_own_answer || !is_own_run)
    {
        return violation{violation_kind::foreign_answer,
                         it.attempt,
                         "requested key " + it.key + " tag " + it.tag +
                             ", answered key " + it.answer_key + " tag " + it.answer_tag +
                             ", " + describe_run(*run->second)};
    }
    return std::nullopt;
}

} // namespace

std::vector<violation> find_two_runs(const std::vector<run_start_record>& runs)
{
    std::map<service_id, const run_start_record*> first;
    std::vector<violation> found;
    for (const run_start_record& it : runs)
    {
        auto [at, is_new] = first.try_emplace({it.service, it.id}, &it);
        if (!it.id.empty() && !is_new)
        {
            found.push_back({violation_kind::two_runs,
                             it.id.str(),
                             describe_run(*at->second) + "; " + describe_run(it)});
        }
    }
    return found;
}

std::vector<violation> find_runs_after_denial(const std::vector<attempt_record>& attempts,
                                              const std::vector<run_start_record>& runs)
{
    std::map<std::string, const run_start_record*> by_attempt;
    for (const run_start_record& it : runs)
    {
        by_attempt.emplace(it.attempt, &it);
    }
    std::vector<violation> found;
    for (const attempt_record& it : attempts)
    {
        auto run = by_attempt.find(it.attempt);
        if (reported_outcome(it) == outcome::not_run && run != by_attempt.end())
        {
            found.push_back({violation_kind::ran_after_denial,
                             it.attempt,
                             "reported not-run at " + std::to_string(it.end) + " us; " +
                                 describe_run(*run->second)});
        }
    }
    return found;
}

std::vector<violation> find_bad_answers(const std::vector<attempt_record>& attempts,
                                        const std::vector<run_start_record>& runs)
{
    std::map<std::string, const run_start_record*> by_run;
    for (const run_start_record& it : runs)
    {
        by_run.emplace(it.run, &it);
    }
    std::vector<violation> found;
    for (const attempt_record& it : attempts)
    {
        if (it.ended != answered)
        {
            continue;
        }
        std::optional<outcome> reported = reported_outcome(it);
        if (!reported)
        {
            found.push_back({violation_kind::no_outcome,
                             it.attempt,
                             "status " + std::to_string(it.status) + ", outcome \"" +
                                 it.outcome + "\""});
        }
        if (reported != outcome::ran)
        {
            continue;
        }
        if (std::optional<violation> answer_violation = find_answer_violation(it, by_run))
        {
            found.push_back(std::move(*answer_violation));
        }
    }
    return found;
}

std::size_t count_denied_after_other_attempt(const std::vector<attempt_record>& attempts,
                                             const std::vector<run_start_record>& runs)
{
    std::map<service_id, const run_start_record*> by_id;
    for (const run_start_record& it : runs)
    {
        by_id.try_emplace({it.service, it.id}, &it);
    }
    return std::count_if(attempts.begin(),
                         attempts.end(),
                         [&](const attempt_record& it)
                         {
                             auto run = by_id.find({it.service, it.id});
                             return !it.id.empty() &&
                                    reported_outcome(it) == outcome::not_run &&
                                    run != by_id.end() &&
                                    run->second->attempt != it.attempt &&
                                    run->second->at < it.end;
                         });
}

} // namespace camphorrock
