#include "net/rpc_client.hpp"

#include "codec/json_text.hpp"
#include "net/http_status.hpp"

#include <optional>

namespace camphorrock
{
namespace
{

constexpr const char* rpc_target = "/rpc";

Json::Value make_call(const rpc_call& call, unsigned id)
{
    Json::Value made(Json::objectValue);
    made["jsonrpc"] = "2.0";
    made["method"] = call.method;
    made["params"] = call.params;
    made["id"] = id;
    return made;
}

http_request make_request(const Json::Value& content)
{
    http_request made;
    made.method = "POST";
    made.target = rpc_target;
    made.headers.add("Content-Type", "application/json");
    made.body = write_json(content);
    return made;
}

rpc_result make_failure(rpc_end end, std::string text)
{
    rpc_result made;
    made.end = end;
    made.text = std::move(text);
    return made;
}

bool is_answer_to(const Json::Value& value, unsigned id)
{
    return value.isObject() && value["id"].isUInt() && value["id"].asUInt() == id;
}

rpc_result read_error(const Json::Value& value)
{
    rpc_result made;
    made.end = rpc_end::refused;
    made.code = value["code"].isInt() ? value["code"].asInt() : 0;
    made.text = value["message"].isString() ? value["message"].asString() : "";
    return made;
}

rpc_result read_answer(const Json::Value& value)
{
    if (value.isMember("error") && value["error"].isObject())
    {
        return read_error(value["error"]);
    }
    if (!value.isMember("result"))
    {
        return make_failure(rpc_end::no_answer,
                            "the answer has neither result nor error");
    }
    rpc_result made;
    made.end = rpc_end::answered;
    made.value = value["result"];
    return made;
}

// The result for each call of an exchange that failed; nullopt if it has a body to read.
std::optional<rpc_result> read_exchange_failure(const exchange_result& got)
{
    if (got.is_connection_refused)
    {
        return make_failure(rpc_end::connection_refused, "connection refused");
    }
    if (is_unsent(got.end))
    {
        return make_failure(rpc_end::not_sent, std::string(name_of(got.end)));
    }
    if (got.end != exchange_end::answered)
    {
        return make_failure(rpc_end::no_answer, std::string(name_of(got.end)));
    }
    if (got.answer.status != http_status::ok)
    {
        return make_failure(rpc_end::no_answer,
                            "HTTP status " + std::to_string(got.answer.status));
    }
    return std::nullopt;
}

rpc_result read_single(const exchange_result& got, unsigned id)
{
    if (std::optional<rpc_result> failure = read_exchange_failure(got))
    {
        return *failure;
    }
    const result<Json::Value> value = parse_json(got.answer.body);
    if (!value || !is_answer_to(*value, id))
    {
        return make_failure(rpc_end::no_answer,
                            "the body is not the answer to this call");
    }
    return read_answer(*value);
}

// The answers of a batch may be in any order; the id tells which call each belongs to.
std::vector<rpc_result>
read_batch(const exchange_result& got, unsigned first_id, std::size_t n)
{
    if (std::optional<rpc_result> failure = read_exchange_failure(got))
    {
        return std::vector<rpc_result>(n, *failure);
    }
    std::vector<rpc_result> made(
        n, make_failure(rpc_end::no_answer, "the batch has no answer to this call"));
    const result<Json::Value> value = parse_json(got.answer.body);
    if (!value || !value->isArray())
    {
        return made;
    }
    for (const Json::Value& it : *value)
    {
        if (it.isObject() && it["id"].isUInt() && it["id"].asUInt() - first_id < n)
        {
            made[it["id"].asUInt() - first_id] = read_answer(it);
        }
    }
    return made;
}

} // namespace

void rpc_client::call(const endpoint& to,
                      const std::string& method,
                      Json::Value params,
                      duration timeout,
                      callback done,
                      connection_choice connection)
{
    const unsigned id = next_id_++;
    const Json::Value content = make_call({method, std::move(params)}, id);
    http_.send(to,
               make_request(content),
               {.timeout = timeout, .connection = connection},
               [id, done = std::move(done)](const exchange_result& got)
               { done(read_single(got, id)); });
}

void rpc_client::batch(const endpoint& to,
                       const std::vector<rpc_call>& calls,
                       duration timeout,
                       batch_callback done,
                       connection_choice connection)
{
    const unsigned first_id = next_id_;
    Json::Value content(Json::arrayValue);
    for (const rpc_call& it : calls)
    {
        content.append(make_call(it, next_id_++));
    }
    http_.send(to,
               make_request(content),
               {.timeout = timeout, .connection = connection},
               [first_id, n = calls.size(), done = std::move(done)](
                   const exchange_result& got) { done(read_batch(got, first_id, n)); });
}

} // namespace camphorrock
