#include "load/history_checker.hpp"

#include "core/base/outcome.hpp"
#include "load/outcome_check.hpp"
#include "load/ownership_check.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace camphorrock
{
namespace
{

template<class... Callables>
struct overloaded : Callables...
{
    using Callables::operator()...;
};

template<class... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

void append(std::vector<violation>& out, std::vector<violation> more)
{
    std::move(more.begin(), more.end(), std::back_inserter(out));
}

void count_outcome(history_summary& out, const attempt_record& attempt)
{
    std::optional<outcome> reported = parse_outcome(attempt.outcome);
    out.answered += attempt.ended == "answered";
    out.ran += reported == outcome::ran;
    out.not_run += reported == outcome::not_run;
    out.unknown += reported == outcome::unknown;
}

} // namespace

void history_checker::add(history_entry entry)
{
    std::visit(
        overloaded{
            [&](grant_record& it) { grants_.push_back(std::move(it)); },
            [&](revoke_record& it) { revokes_.push_back(std::move(it)); },
            [&](run_start_record& it) { runs_.push_back(std::move(it)); },
            [&](run_end_record& it) { run_ends_[it.run] = it.at; },
            [&](attempt_record& it) { attempts_.push_back(std::move(it)); },
            [&](patch_record& it) { config_.patches.push_back(std::move(it)); },
            [&](router_config_record& it) { config_.routers.push_back(std::move(it)); },
            [&](config_document_record& it)
            { config_.documents.push_back(std::move(it)); },
        },
        entry);
}

std::vector<violation> history_checker::check() const
{
    std::vector<ownership_span> spans = ownership_spans(grants_, revokes_);
    std::vector<violation> found = find_two_owners(spans);
    append(found, find_unchecked_runs_during_grants(runs_, run_ends_, spans));
    append(found, find_overlapping_unchecked_runs(runs_, run_ends_));
    append(found, find_runs_not_owned(runs_, spans));
    append(found, find_two_runs(runs_));
    append(found, find_runs_after_denial(attempts_, runs_));
    append(found, find_bad_answers(attempts_, runs_));
    append(found, find_config_violations(config_));
    std::stable_sort(found.begin(),
                     found.end(),
                     [](const violation& one, const violation& other)
                     { return one.kind < other.kind; });
    return found;
}

history_summary history_checker::summary() const
{
    history_summary out;
    std::set<request_id> ids;
    for (const attempt_record& it : attempts_)
    {
        count_outcome(out, it);
        if (!it.id.empty())
        {
            ids.insert(it.id);
        }
    }
    out.attempts = attempts_.size();
    out.ids = ids.size();
    out.runs = runs_.size();
    out.grants = grants_.size();
    out.patches = config_.patches.size();
    out.accepted_patches = count_accepted(config_);
    out.router_versions = config_.routers.size();
    out.denied_after_other_attempt = count_denied_after_other_attempt(attempts_, runs_);
    return out;
}

} // namespace camphorrock
