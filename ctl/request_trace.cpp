#include "ctl/request_trace.hpp"

#include "codec/json_text.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace camphorrock
{
namespace
{

// Of the gateway itself.
constexpr const char* gateway_events[] = {"store_lost",
                                          "store_regained",
                                          "keys_elected",
                                          "keys_resigned",
                                          "config_in_force",
                                          "links_lost",
                                          "links_back"};
constexpr const char* server_events[] = {"server_seen",
                                         "server_gone",
                                         "server_leaving",
                                         "server_paused",
                                         "server_limited",
                                         "server_limit_ended",
                                         "order_ended"};

constexpr const char* crash_events[] = {
    "request_suspected", "request_condemned", "suspect_cleared"};

struct reason_text
{
    std::string_view reason; // as in the event's field
    std::string_view text;
};

constexpr reason_text reason_texts[] = {
    {"no_route", "no route of the configuration in force matches it"},
    {"stopping", "it came while the gateway was about to end"},
    {"no_config", "the gateway had no configuration yet"},
    {"route_unreadable", "the route could not be read; see config_part_unreadable"},
    {"no_key", "it names no key, and its service is keyed"},
    {"no_server", "no server of its service was known as ready"},
    {"no_owner", "no server owned its key, or the key was being moved, for too long"},
    {"overloaded", "no server that could run it was expected to answer in time"},
    {"paused", "the servers that could run it asked for pauses; see server_paused"},
    {"limited",
     "the servers that could run it had reached their rate limits; see token_decided"},
    {"full",
     "the servers that could run it held as many requests as they are known to take"},
    {"shed", "the server had no capacity, and no other server could take it"},
    {"unreachable", "no server could be reached, from here or by another gateway"},
    {"waited_too_long", "its deadline passed before a server could be chosen"},
    {"timed_out", "it timed out at a server, which may have run it"},
    {"server_lost",
     "the connection to a server broke after it was sent; the server may have run it"},
    {"suspected", "a server had crashed under it, and another attempt of it ran"},
    {"crashes_servers",
     "servers crashed under it again and again, so it is sent to none; see the "
     "server_probed lines of all gateways, and lift-verdict"},
    {"unproven_refusal",
     "a server answered with a status that reads as \"not run\", without saying so; it "
     "may have run it"},
};

// Returns a field as text; empty if it is absent.
std::string field_text(const Json::Value& fields, const char* name)
{
    const Json::Value& it = fields[name];
    return it.isString() ? it.asString() : it.isNull() ? "" : write_json(it);
}

bool is_one_of(const std::string& name, const char* const* first, const char* const* last)
{
    return std::find(first, last, name) != last;
}

std::string milliseconds_text(const Json::Value& us)
{
    return std::to_string(us.asInt64() / 1000) + " ms";
}

// Names what an expected latency rested on; empty for another reason, and for the log of
// a build that did not write it.
std::string estimate_text(const Json::Value& fields)
{
    if (field_text(fields, "reason") != "overloaded" || !fields["limit_us"].isIntegral())
    {
        return "";
    }
    return ": " + milliseconds_text(fields["expected_us"]) + " expected, " +
           milliseconds_text(fields["limit_us"]) + " allowed; the estimate rested on " +
           field_text(fields, "estimate_answers") + " answers, the latest " +
           milliseconds_text(fields["estimate_age_us"]) + " before";
}

std::string outcome_cause(const log_line& last)
{
    if (last.name == "request_answered_here")
    {
        std::string reason = field_text(last.fields, "reason");
        const bool is_not_run = last.fields["not_run"].asBool();
        for (const reason_text& it : reason_texts)
        {
            if (it.reason == reason)
            {
                return std::string(it.text) + estimate_text(last.fields) +
                       (is_not_run ? "; it was not run" : "");
            }
        }
        return reason;
    }
    if (last.name == "request_answered")
    {
        return "a server answered it with status " + field_text(last.fields, "status");
    }
    if (last.name == "forward_ended")
    {
        return "another gateway, which had it, answered it: " +
               field_text(last.fields, "end");
    }
    if (last.name == "client_gone")
    {
        return "its client disconnected before an answer";
    }
    return "the log does not show how it ended";
}

// Returns the last line of each gateway event, and of each event of one of `servers`,
// that `program` wrote up to `until`, by time.
std::vector<log_line> events_before(const std::vector<log_line>& log,
                                    const std::string& program,
                                    const std::set<std::string>& servers,
                                    const std::string& until)
{
    std::map<std::string, const log_line*> last; // by event and server
    for (const log_line& it : log)
    {
        if (it.program != program || it.time > until)
        {
            continue;
        }
        const std::string server = field_text(it.fields, "server");
        const bool is_gateway_event =
            is_one_of(it.name, std::begin(gateway_events), std::end(gateway_events));
        const bool is_server_event =
            servers.contains(server) &&
            is_one_of(it.name, std::begin(server_events), std::end(server_events));
        if (is_gateway_event || is_server_event)
        {
            const log_line*& latest =
                last[it.name + " " + (is_server_event ? server : "")];
            latest = latest == nullptr || latest->time <= it.time ? &it : latest;
        }
    }
    std::vector<log_line> made;
    made.reserve(last.size());
    for (const auto& [key, it] : last)
    {
        made.push_back(*it);
    }
    std::sort(made.begin(),
              made.end(),
              [](const log_line& a, const log_line& b) { return a.time < b.time; });
    return made;
}

// Returns the lines, of all gateways, on the crashes under requests with that fingerprint
// and on what followed from them.
std::vector<log_line> crashes_under(const std::vector<log_line>& log,
                                    const std::string& fingerprint)
{
    std::vector<log_line> made;
    if (fingerprint.empty())
    {
        return made;
    }
    for (const log_line& it : log)
    {
        const std::string found = field_text(it.fields, "fingerprint");
        const bool is_crash = it.name == "server_probed" && it.fields["ended"].asBool() &&
                              found == fingerprint;
        const bool is_standing =
            is_one_of(it.name, std::begin(crash_events), std::end(crash_events)) &&
            fingerprint.find(found) != std::string::npos;
        if (is_crash || is_standing)
        {
            made.push_back(it);
        }
    }
    return made;
}

} // namespace

std::optional<log_line> parse_log_line(const std::string& text)
{
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos)
    {
        return std::nullopt;
    }
    return value_or_handle(
        [&]() -> result<std::optional<log_line>>
        {
            BOOST_LEAF_AUTO(value, parse_json(std::string_view(text).substr(begin)));
            if (!value.isObject() || !value["t"].isString() || !value["name"].isString())
            {
                return std::optional<log_line>();
            }
            log_line made{value["t"].asString(),
                          field_text(value, "program"),
                          value["name"].asString(),
                          value};
            return std::optional<log_line>(std::move(made));
        },
        [](const error&) { return std::optional<log_line>(); });
}

std::optional<request_trace> trace_request(const std::string& request,
                                           const std::vector<log_line>& log)
{
    request_trace made;
    std::set<std::string> servers;
    for (const log_line& it : log)
    {
        if (field_text(it.fields, "request") == request)
        {
            made.lines.push_back(it);
            servers.insert(field_text(it.fields, "server"));
        }
    }
    if (made.lines.empty())
    {
        return std::nullopt;
    }
    std::stable_sort(made.lines.begin(),
                     made.lines.end(),
                     [](const log_line& a, const log_line& b)
                     { return a.time < b.time; });
    servers.erase("");
    const log_line& last = made.lines.back();
    made.context = events_before(log, last.program, servers, last.time);
    for (const log_line& it : crashes_under(log, field_text(last.fields, "fingerprint")))
    {
        made.context.push_back(it);
    }
    std::stable_sort(made.context.begin(),
                     made.context.end(),
                     [](const log_line& a, const log_line& b)
                     { return a.time < b.time; });
    made.cause = outcome_cause(last);
    return made;
}

std::string format_line(const log_line& line)
{
    std::string made = line.time + " " + line.program + " " + line.name;
    for (const std::string& name : line.fields.getMemberNames())
    {
        const bool is_header_field = name == "t" || name == "program" || name == "name" ||
                                     name == "level" || name == "event";
        const std::string value = field_text(line.fields, name.c_str());
        if (!is_header_field && !value.empty())
        {
            made.append(" ").append(name).append("=").append(value);
        }
    }
    return made;
}

} // namespace camphorrock
