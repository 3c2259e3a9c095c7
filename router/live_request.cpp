#include "router/live_request.hpp"

#include <utility>

namespace camphorrock
{

live_request::~live_request()
{
    if (!is_ended())
    {
        refuse(refusal::internal, "the request was dropped");
    }
}

void live_request::answer(http_response answer)
{
    answer.headers.set(outcome_header, std::string(name_of(outcome::ran)));
    pass_on(std::move(answer));
}

void live_request::pass_on(http_response answer)
{
    std::optional<std::string_view> told = answer.headers.find(outcome_header);
    request_summary summary;
    summary.told = parse_outcome(told.value_or("")).value_or(outcome::unknown);
    if (may_have_run_ && summary.told == outcome::not_run)
    {
        return refuse(refusal::in_doubt, "the second sending was refused");
    }
    summary.status = answer.status;
    finish(summary, &answer);
}

void live_request::refuse(const problem& what)
{
    if (is_ended())
    {
        return;
    }
    if (may_have_run_ && terms_of(what.why).told == outcome::not_run)
    {
        return refuse(problem{
            refusal::in_doubt, std::string(terms_of(what.why).type), what.retry_after});
    }
    http_response answer = make_problem_answer(what, random_);
    request_summary summary;
    summary.told = terms_of(what.why).told;
    summary.status = answer.status;
    summary.why = what.why;
    summary.is_refusal = true;
    finish(summary, &answer);
}

void live_request::cut()
{
    request_summary summary;
    summary.told = outcome::unknown;
    summary.is_cut = true;
    finish(summary, nullptr);
}

void live_request::note_gone()
{
    cut();
    std::function<void()> told = std::exchange(on_gone, nullptr);
    if (told)
    {
        told();
    }
}

void live_request::finish(const request_summary& summary, http_response* answer)
{
    ender end = std::exchange(end_, nullptr);
    if (end)
    {
        end(summary, answer);
    }
}

} // namespace camphorrock
