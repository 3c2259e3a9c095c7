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
    forward_answer(std::move(answer));
}

void live_request::forward_answer(http_response answer)
{
    std::optional<std::string_view> reported_outcome =
        answer.headers.find(outcome_header);
    request_summary summary;
    summary.reported_outcome =
        parse_outcome(reported_outcome.value_or("")).value_or(outcome::unknown);
    if (may_have_run_ && summary.reported_outcome == outcome::not_run)
    {
        return refuse(refusal::outcome_unresolved, "the second sending was refused");
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
    if (may_have_run_ && details_of(what.why).reported_outcome == outcome::not_run)
    {
        return refuse(problem{refusal::outcome_unresolved,
                              std::string(details_of(what.why).type),
                              what.retry_after});
    }
    http_response answer = make_problem_answer(what, random_);
    request_summary summary;
    summary.reported_outcome = details_of(what.why).reported_outcome;
    summary.status = answer.status;
    summary.why = what.why;
    summary.is_refusal = true;
    finish(summary, &answer);
}

void live_request::abort()
{
    request_summary summary;
    summary.reported_outcome = outcome::unknown;
    summary.is_aborted = true;
    finish(summary, nullptr);
}

void live_request::on_caller_disconnected()
{
    abort();
    std::function<void()> notify = std::exchange(on_caller_disconnect, nullptr);
    if (notify)
    {
        notify();
    }
}

void live_request::finish(const request_summary& summary, http_response* answer)
{
    end_callback end = std::exchange(on_end_, nullptr);
    if (end)
    {
        end(summary, answer);
    }
}

} // namespace camphorrock
