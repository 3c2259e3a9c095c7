#include "ctl/command.hpp"

#include "app/command_line.hpp"
#include "codec/json_text.hpp"
#include "ctl/fleet_status.hpp"
#include "ctl/yaml_json.hpp"
#include "net/http_status.hpp"

#include <json/writer.h>

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace camphorrock
{
namespace
{

http_request make_request(const char* method, std::string target, std::string body = {})
{
    http_request made;
    made.method = method;
    made.target = std::move(target);
    made.body = std::move(body);
    return made;
}

std::string make_random_id()
{
    std::random_device source;
    std::ostringstream text;
    text << "ctl-" << std::hex << source() << source();
    return text.str();
}

result<std::string> read_file(const std::string& name)
{
    std::ostringstream text;
    if (name == "-")
    {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(name);
    if (!file)
    {
        return fail(error_code::io, "cannot read " + name);
    }
    text << file.rdbuf();
    return text.str();
}

std::string percent_encode(const std::string& key)
{
    constexpr const char* digits = "0123456789ABCDEF";
    std::string out;
    for (unsigned char c : key)
    {
        bool is_plain =
            std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~';
        if (is_plain)
        {
            out += static_cast<char>(c);
            continue;
        }
        out += '%';
        out += digits[c / 16];
        out += digits[c % 16];
    }
    return out;
}

void print_indented(std::ostream& out, const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    out << Json::writeString(builder, value) << '\n';
}

int exit_status_of(int http_status_code)
{
    switch (http_status_code)
    {
    case http_status::ok:
    case http_status::accepted:
        return exit_ok;
    case http_status::bad_request:
        return exit_bad_usage;
    case http_status::conflict:
        return exit_stale;
    default:
        return exit_failure;
    }
}

// Prints an answer as JSON, or its body by `print`, and returns the exit status.
template<class Print>
int print_answer(const command_context& context,
                 const operator_answer& answer,
                 Print print)
{
    if (context.is_json)
    {
        context.out << write_json(answer.body) << '\n';
    }
    else if (exit_status_of(answer.status) == exit_ok)
    {
        print(answer.body);
    }
    else
    {
        context.errors << "status " << answer.status << ": " << write_json(answer.body)
                       << '\n';
    }
    return exit_status_of(answer.status);
}

// Runs `command`, which returns a result<int>, and returns its exit status. If it fails,
// prints the error.
template<class Command>
int run(const command_context& context, Command command)
{
    return value_or_handle([&]() -> result<int> { return command(); },
                           [&](const error& ec)
                           {
                               context.errors << ec.text << '\n';
                               return ec.code == error_code::invalid_argument
                                          ? exit_bad_usage
                                          : exit_failure;
                           });
}

void print_patch_result(const command_context& context, const operator_answer& answer)
{
    const Json::Value& body = answer.body;
    if (context.is_json)
    {
        context.out << write_json(body) << '\n';
        return;
    }
    switch (answer.status)
    {
    case http_status::ok:
        context.out << "accepted as version " << body["version"].asUInt64() << '\n';
        return;
    case http_status::conflict:
        context.errors << "stale: the current version is " << body["version"].asUInt64()
                       << '\n';
        return;
    default:
        context.errors << "not accepted: " << write_json(body) << '\n';
        return;
    }
}

result<int> submit_patch(const command_context& context,
                         std::uint64_t base,
                         const std::string& id,
                         Json::Value patch)
{
    Json::Value body(Json::objectValue);
    body["base"] = static_cast<Json::UInt64>(base);
    body["id"] = id;
    body["patch"] = std::move(patch);
    http_request request = make_request("POST", "/operator/patch", write_json(body));
    BOOST_LEAF_AUTO(answer, context.assigners.send(request, http_status::unavailable));
    print_patch_result(context, answer);
    return exit_status_of(answer.status);
}

// Merges the status reports of all assigners that sent one. Returns the first answer if
// none did.
operator_answer merge_answers(const std::vector<operator_answer>& answers)
{
    std::vector<Json::Value> bodies;
    for (const operator_answer& it : answers)
    {
        if (it.status == http_status::ok)
        {
            bodies.push_back(it.body);
        }
    }
    if (bodies.empty())
    {
        return answers.front();
    }
    return {http_status::ok, merge_status(bodies)};
}

void print_status(std::ostream& out, const Json::Value& body)
{
    out << "configuration version " << body["config_version"].asUInt64()
        << ", reported by " << body["assigner"].asString() << '\n';
    for (const std::string& name : body["shards"].getMemberNames())
    {
        const Json::Value& shard = body["shards"][name];
        out << "shard " << name << ": ";
        if (!shard["held_here"].asBool())
        {
            out << "held by " << shard["holder"].asString() << '\n';
            continue;
        }
        out << "epoch " << shard["epoch"].asUInt64() << ", "
            << shard["partitions"].asUInt64() << " partitions, "
            << shard["unowned"].asUInt64() << " without owner, load max/mean "
            << shard["imbalance"].asDouble() << "\n";
        for (const std::string& server : shard["servers"].getMemberNames())
        {
            out << "  server " << server << " scheduled by "
                << shard["servers"][server]["scheduler"].asString() << '\n';
        }
    }
    for (const std::string& name : body["routers"].getMemberNames())
    {
        const Json::Value& router = body["routers"][name];
        out << "router " << name << " in " << router["data_centre"].asString()
            << ": configuration " << router["config_version"].asUInt64()
            << ", last report " << router["heard_ms_ago"].asInt64() << " ms ago"
            << (router["leaving"].asBool() ? ", leaving" : "") << '\n';
    }
    out << "lagging: " << (body["lagging"].empty() ? "none" : write_json(body["lagging"]))
        << '\n';
}

void print_explanation(std::ostream& out, const Json::Value& body)
{
    out << "key " << body["key"].asString() << " of " << body["service"].asString()
        << " in partition " << body["partition"].asString() << '\n';
    out << "owner " << body["owner"].asString() << " at " << body["endpoint"].asString()
        << ", epoch " << body["epoch"].asUInt64() << '\n';
    out << "scheduler " << body["scheduler"].asString() << " since epoch "
        << body["scheduler_epoch"].asUInt64() << '\n';
    if (!body["moving_to"].asString().empty())
    {
        out << "moving to " << body["moving_to"].asString() << '\n';
    }
    for (const Json::Value& it : body["changes"])
    {
        out << "  epoch " << it["epoch"].asUInt64() << ", " << it["age_ms"].asInt64()
            << " ms ago: " << it["kind"].asString() << " " << it["server"].asString()
            << " (" << it["reason"].asString() << ")\n";
    }
}

// Returns a patch that marks a server as draining in each service that names it, or null
// if no service does.
Json::Value make_drain_patch(const Json::Value& config, const std::string& server)
{
    Json::Value patch;
    for (const std::string& name : config["services"].getMemberNames())
    {
        if (config["services"][name]["servers"].isMember(server))
        {
            patch["services"][name]["servers"][server]["drain"] = true;
        }
    }
    return patch;
}

} // namespace

int show_config(const command_context& context)
{
    return run(context,
               [&]() -> result<int>
               {
                   http_request request = make_request("GET", "/operator/config");
                   BOOST_LEAF_AUTO(
                       answer, context.assigners.send(request, http_status::unavailable));
                   return print_answer(context,
                                       answer,
                                       [&](const Json::Value& body)
                                       { print_indented(context.out, body); });
               });
}

int patch_config(const command_context& context, const patch_submission& submission)
{
    return run(context,
               [&]() -> result<int>
               {
                   BOOST_LEAF_AUTO(text, read_file(submission.file));
                   BOOST_LEAF_AUTO(patch, parse_yaml(text));
                   std::string id =
                       submission.id.empty() ? make_random_id() : submission.id;
                   return submit_patch(context, submission.base, id, std::move(patch));
               });
}

int show_status(const command_context& context)
{
    return run(context,
               [&]() -> result<int>
               {
                   http_request request = make_request("GET", "/operator/status");
                   BOOST_LEAF_AUTO(answers, context.assigners.send_to_all(request));
                   return print_answer(context,
                                       merge_answers(answers),
                                       [&](const Json::Value& body)
                                       { print_status(context.out, body); });
               });
}

int explain_key(const command_context& context,
                const std::string& service,
                const std::string& key)
{
    return run(context,
               [&]() -> result<int>
               {
                   std::string target =
                       "/operator/explain?/" + service + "/" + percent_encode(key);
                   BOOST_LEAF_AUTO(answer,
                                   context.assigners.send(make_request("GET", target),
                                                          http_status::misdirected));
                   return print_answer(context,
                                       answer,
                                       [&](const Json::Value& body)
                                       { print_explanation(context.out, body); });
               });
}

int move_key(const command_context& context,
             const std::string& service,
             const std::string& key,
             const std::string& server)
{
    return run(context,
               [&]() -> result<int>
               {
                   Json::Value body(Json::objectValue);
                   body["service"] = service;
                   body["key"] = key;
                   body["to"] = server;
                   http_request request =
                       make_request("POST", "/operator/move", write_json(body));
                   BOOST_LEAF_AUTO(
                       answer, context.assigners.send(request, http_status::misdirected));
                   return print_answer(context,
                                       answer,
                                       [&](const Json::Value&)
                                       { context.out << "the move is planned\n"; });
               });
}

int lift_verdict(const command_context& context, const std::string& fingerprint)
{
    return run(context,
               [&]() -> result<int>
               {
                   Json::Value call(Json::objectValue);
                   call["jsonrpc"] = "2.0";
                   call["id"] = 1;
                   call["method"] = "crashes.lift";
                   call["params"]["fingerprint"] = fingerprint;
                   BOOST_LEAF_AUTO(answer,
                                   context.assigners.send(
                                       make_request("POST", "/rpc", write_json(call)),
                                       http_status::unavailable));
                   if (answer.body.isMember("error"))
                   {
                       return fail(error_code::invalid_argument,
                                   answer.body["error"]["message"].asString());
                   }
                   context.out << "lifted\n";
                   return exit_ok;
               });
}

int drain_server(const command_context& context, const std::string& server)
{
    return run(context,
               [&]() -> result<int>
               {
                   http_request request = make_request("GET", "/operator/config");
                   BOOST_LEAF_AUTO(
                       answer, context.assigners.send(request, http_status::unavailable));
                   Json::Value patch = make_drain_patch(answer.body, server);
                   if (patch.isNull())
                   {
                       return fail(error_code::invalid_argument,
                                   "no service names the server " + server);
                   }
                   return submit_patch(context,
                                       answer.body["version"].asUInt64(),
                                       make_random_id(),
                                       std::move(patch));
               });
}

} // namespace camphorrock
