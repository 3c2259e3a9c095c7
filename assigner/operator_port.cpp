#include "assigner/operator_port.hpp"

#include "app/admin_server.hpp"
#include "assigner/patch_job.hpp"
#include "codec/configuration_json.hpp"
#include "codec/json_text.hpp"
#include "core/routing/request_target.hpp"
#include "net/http_status.hpp"

namespace camphorrock
{
namespace
{

http_response make_answer(int status, const Json::Value& body)
{
    return make_json_response(status, write_json(body));
}

http_response make_fault(int status, const std::string& text)
{
    Json::Value body(Json::objectValue);
    body["fault"] = text;
    return make_answer(status, body);
}

http_response make_refusal(const error& ec)
{
    switch (ec.code)
    {
    case error_code::refused:
        return make_fault(http_status::misdirected, ec.text);
    case error_code::not_found:
        return make_fault(http_status::not_found, ec.text);
    default:
        return make_fault(http_status::bad_request, ec.text);
    }
}

struct submission
{
    patch_request request;
    Json::Value patch;
};

result<submission> read_submission(const std::string& text)
{
    BOOST_LEAF_AUTO(body, parse_json(text));
    bool is_whole = body.isObject() && body.size() == 3 && body["base"].isUInt64() &&
                    body["id"].isString() && body["patch"].isObject();
    if (!is_whole)
    {
        return fail(error_code::invalid_argument,
                    "a patch needs base, id and patch, and nothing else");
    }
    submission made;
    made.request.base = config_version{body["base"].asUInt64()};
    made.request.id = patch_id(body["id"].asString());
    made.patch = body["patch"];
    if (made.request.id.empty())
    {
        return fail(error_code::invalid_argument, "the patch id is empty");
    }
    return made;
}

http_response answer_of(const patch_result& ended)
{
    Json::Value body(Json::objectValue);
    body["version"] = static_cast<Json::UInt64>(ended.version.value);
    if (!ended.fault.empty())
    {
        body["end"] = "invalid";
        body["fault"] = ended.fault;
        return make_answer(http_status::bad_request, body);
    }
    body["end"] = std::string(name_of(ended.end));
    switch (ended.end)
    {
    case patch_end::accepted:
        return make_answer(http_status::ok, body);
    case patch_end::stale:
    case patch_end::id_reused:
        return make_answer(http_status::conflict, body);
    case patch_end::unavailable:
    case patch_end::unknown:
        break;
    }
    return make_answer(http_status::unavailable, body);
}

} // namespace

operator_port::operator_port(assigner_parts& parts,
                             const config_agent& config,
                             std::function<fleet_view()> view)
    : parts_(parts), config_(config), view_(std::move(view))
{
    rpc_.add("config.get",
             [this](const Json::Value&) -> result<Json::Value>
             { return Json::Value(configuration_text(config_.current())); });
}

void operator_port::handle(http_request request,
                           std::shared_ptr<http_responder> responder)
{
    std::string call = request.method + " " + std::string(path_of(request));
    if (call == "POST /rpc")
    {
        responder->respond(
            make_json_response(http_status::ok, rpc_.dispatch(request.body)));
        return;
    }
    if (call == "POST /operator/patch")
    {
        patch(request, responder);
        return;
    }
    if (call == "GET /operator/config")
    {
        responder->respond(
            make_json_response(http_status::ok, configuration_text(config_.current())));
        return;
    }
    if (call == "GET /operator/status")
    {
        responder->respond(make_answer(http_status::ok, make_status(view_())));
        return;
    }
    if (call == "GET /operator/explain")
    {
        responder->respond(explain(request));
        return;
    }
    if (call == "POST /operator/move")
    {
        responder->respond(move(request));
        return;
    }
    responder->respond(make_fault(http_status::not_found, "no such path"));
}

void operator_port::patch(const http_request& request,
                          const std::shared_ptr<http_responder>& responder)
{
    value_or_handle(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(sent, read_submission(request.body));
            patch_job::start(parts_,
                             sent.request,
                             sent.patch,
                             [responder](const patch_result& ended)
                             { responder->respond(answer_of(ended)); });
            return {};
        },
        [&](const error& ec)
        { responder->respond(make_fault(http_status::bad_request, ec.text)); });
}

http_response operator_port::explain(const http_request& request) const
{
    // The query names the key as a caller's target would: ?/service/key
    std::size_t mark = request.target.find('?');
    std::string asked = mark == std::string::npos ? "" : request.target.substr(mark + 1);
    std::optional<request_target> target = parse_request_target(asked);
    if (!target)
    {
        return make_fault(http_status::bad_request, "the query must be /SERVICE/KEY");
    }
    return value_or_handle(
        [&]() -> result<http_response>
        {
            BOOST_LEAF_AUTO(body,
                            make_explanation(view_(), target->service, target->key));
            return make_answer(http_status::ok, body);
        },
        make_refusal);
}

http_response operator_port::move(const http_request& request) const
{
    return value_or_handle(
        [&]() -> result<http_response>
        {
            BOOST_LEAF_AUTO(body, parse_json(request.body));
            bool is_whole = body.isObject() && body.size() == 3 &&
                            body["service"].isString() && body["key"].isString() &&
                            body["to"].isString();
            if (!is_whole)
            {
                return fail(error_code::invalid_argument,
                            "a move needs service, key and to");
            }
            BOOST_LEAF_CHECK(move_key(view_(),
                                      service_name(body["service"].asString()),
                                      body["key"].asString(),
                                      server_id(body["to"].asString())));
            return make_answer(http_status::accepted, Json::Value(Json::objectValue));
        },
        make_refusal);
}

} // namespace camphorrock
