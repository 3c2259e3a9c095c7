#include "ctl/request_story.hpp"

#include "codec/json_text.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace camphorrock
{
namespace
{

constexpr const char* store_events[] = {
    "store_lost", "store_regained", "keys_elected", "keys_resigned", "config_in_force"};
constexpr const char* server_events[] = {"server_seen", "server_gone", "order_ended"};

struct reason_text
{
    std::string_view reason;
    std::string_view text;
};

constexpr reason_text reasons[] = {
    {"no_route", "no route of the configuration in force takes it"},
    {"no_config", "the gateway had no configuration yet"},
    {"no_key", "it names no key, and its service is divided by key"},
    {"no_server", "no server of its service was known as ready"},
    {"no_owner", "no server owned its key, or the key was moving, for too long"},
    {"overloaded", "the servers' queues were too long for an answer in time"},
    {"shed", "the server had no room, and no other one could take it"},
    {"unreachable", "no server could be reached"},
    {"waited_too_long", "its time ran out before a server could be chosen"},
    {"timed_out", "its time ran out at a server, which may have run it"},
    {"server_lost", "a server broke off after it was sent, and may have run it"},
    {"bad_answer", "what came back was not a server's answer to it"},
};

std::string text_of(const Json::Value& fields, const char* name)
{
    const Json::Value& it = fields[name];
    return it.isString() ? it.asString() : it.isNull() ? "" : write_json(it);
}

bool is_one_of(const std::string& name, const char* const* first, const char* const* last)
{
    return std::find(first, last, name) != last;
}

std::string cause_of(const log_line& last)
{
    if (last.name == "request_answered_here")
    {
        std::string reason = text_of(last.fields, "reason");
        const bool is_not_run = last.fields["not_run"].asBool();
        for (const reason_text& it : reasons)
        {
            if (it.reason == reason)
            {
                return std::string(it.text) + (is_not_run ? "; it was not run" : "");
            }
        }
        return reason;
    }
    if (last.name == "request_answered")
    {
        return "a server answered it with status " + text_of(last.fields, "status");
    }
    if (last.name == "client_gone")
    {
        return "its client left before an answer";
    }
    return "the log does not say how it ended";
}

// The last line of each kind that `program` wrote up to `until`.
std::vector<log_line> context_of(const std::vector<log_line>& log,
                                 const std::string& program,
                                 const std::set<std::string>& servers,
                                 const std::string& until)
{
    std::map<std::string, const log_line*> last;
    for (const log_line& it : log)
    {
        if (it.program != program || it.time > until)
        {
            continue;
        }
        const std::string server = text_of(it.fields, "server");
        const bool is_of_store =
            is_one_of(it.name, std::begin(store_events), std::end(store_events));
        const bool is_of_server =
            servers.contains(server) &&
            is_one_of(it.name, std::begin(server_events), std::end(server_events));
        if (is_of_store || is_of_server)
        {
            const log_line*& kept = last[it.name + " " + (is_of_server ? server : "")];
            kept = kept == nullptr || kept->time <= it.time ? &it : kept;
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
                          text_of(value, "program"),
                          value["name"].asString(),
                          value};
            return std::optional<log_line>(std::move(made));
        },
        [](const error&) { return std::optional<log_line>(); });
}

std::optional<request_story> tell_story(const std::string& request,
                                        const std::vector<log_line>& log)
{
    request_story made;
    std::set<std::string> servers;
    for (const log_line& it : log)
    {
        if (text_of(it.fields, "request") == request)
        {
            made.lines.push_back(it);
            servers.insert(text_of(it.fields, "server"));
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
    made.context = context_of(log, last.program, servers, last.time);
    made.cause = cause_of(last);
    return made;
}

std::string line_text(const log_line& line)
{
    std::string made = line.time + " " + line.program + " " + line.name;
    for (const std::string& name : line.fields.getMemberNames())
    {
        const bool is_shown = name == "t" || name == "program" || name == "name" ||
                              name == "level" || name == "event";
        const std::string value = text_of(line.fields, name.c_str());
        if (!is_shown && !value.empty())
        {
            made.append(" ").append(name).append("=").append(value);
        }
    }
    return made;
}

} // namespace camphorrock
