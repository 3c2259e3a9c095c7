#include "fakes/site/once_count.hpp"

#include "net/http_status.hpp"

#include <map>

namespace camphorrock::fakes
{
namespace
{

constexpr int bad_gateway = 502;
constexpr int gateway_timeout = 504;

void count_end(once_count& to, const caller_answer& of)
{
    const bool is_answered = of.end == caller_end::answered;
    if (!is_answered)
    {
        ++to.not_answered;
    }
    else if (of.status == http_status::ok)
    {
        ++to.answered_ok;
    }
    else if (of.status == bad_gateway || of.status == gateway_timeout)
    {
        ++to.answered_unknown;
    }
    else if (is_promise_not_run(of.status))
    {
        ++to.answered_refused;
    }
    else
    {
        ++to.answered_other;
    }
    // A gateway's own answers need not name the request.
    to.mixed_up +=
        is_answered && !of.answered.empty() && of.answered != of.request_id ? 1 : 0;
}

} // namespace

bool is_promise_not_run(int status)
{
    return status == http_status::request_timeout || status == http_status::misdirected ||
           status == http_status::too_many_requests || status == http_status::unavailable;
}

once_count count_once(const std::vector<caller_answer>& answers,
                      const std::vector<site_run>& runs)
{
    std::map<std::string, unsigned> runs_of;
    for (const site_run& it : runs)
    {
        ++runs_of[it.request_id];
    }
    once_count made;
    made.requests = answers.size();
    for (const caller_answer& it : answers)
    {
        count_end(made, it);
        const auto found = runs_of.find(it.request_id);
        const unsigned count = found == runs_of.end() ? 0 : found->second;
        const bool is_refused =
            it.end == caller_end::answered && is_promise_not_run(it.status);
        const bool is_unread = it.end == caller_end::unread;
        made.not_answered_and_ran += it.end != caller_end::answered && count > 0 ? 1 : 0;
        made.ran_twice += count > 1 ? 1 : 0;
        made.refused_and_ran += is_refused && count > 0 ? 1 : 0;
        made.unread += is_unread ? 1 : 0;
        made.unread_and_ran += is_unread && count > 0 ? 1 : 0;
        if (count > 1 || ((is_refused || is_unread) && count > 0))
        {
            made.broken.push_back(it.request_id);
        }
    }
    return made;
}

std::string once_count_text(const once_count& of)
{
    return "requests=" + std::to_string(of.requests) +
           " twice=" + std::to_string(of.ran_twice) +
           " refused_and_ran=" + std::to_string(of.refused_and_ran) +
           " unread_and_ran=" + std::to_string(of.unread_and_ran) +
           " refused=" + std::to_string(of.answered_refused) +
           " unknown=" + std::to_string(of.answered_unknown) +
           " ok=" + std::to_string(of.answered_ok) +
           " other=" + std::to_string(of.answered_other) +
           " mixed_up=" + std::to_string(of.mixed_up) +
           " not_answered=" + std::to_string(of.not_answered) +
           " unread=" + std::to_string(of.unread) +
           " not_answered_and_ran=" + std::to_string(of.not_answered_and_ran);
}

} // namespace camphorrock::fakes
