#include "router/problem_answer.hpp"

#include <json/value.h>
#include <json/writer.h>

namespace camphorrock
{
namespace
{

std::string compact_text(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

// Returns `wait` increased by a random jitter of up to half of it.
milliseconds with_jitter(duration wait, std::mt19937_64& random)
{
    std::uniform_int_distribution<std::int64_t> extra(0, wait.count() / 2);
    duration jittered = wait + duration(extra(random));
    return std::chrono::ceil<milliseconds>(jittered);
}

} // namespace

http_response make_problem_answer(const problem& what, std::mt19937_64& random)
{
    const refusal_details& details = details_of(what.why);
    Json::Value body;
    body["type"] = "urn:camphorrock:" + std::string(details.type);
    body["title"] = std::string(details.title);
    body["status"] = details.status;
    body["outcome"] = std::string(name_of(details.reported_outcome));
    if (!what.detail.empty())
    {
        body["detail"] = what.detail;
    }
    http_response answer;
    answer.status = details.status;
    answer.headers.add("Content-Type", "application/problem+json");
    answer.headers.add(outcome_header, std::string(name_of(details.reported_outcome)));
    duration wait =
        what.retry_after > duration::zero() ? what.retry_after : details.retry_after;
    if (wait > duration::zero())
    {
        milliseconds jittered = with_jitter(wait, random);
        body["retry_after_ms"] = static_cast<Json::Int64>(jittered.count());
        seconds whole = std::chrono::ceil<seconds>(jittered);
        answer.headers.add("Retry-After", std::to_string(whole.count()));
    }
    answer.body = compact_text(body);
    return answer;
}

} // namespace camphorrock
