#include "assigner/assigner_api.hpp"

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

http_response make_response(int status, const Json::Value& body)
{
    return make_json_response(status, write_json(body));
}

http_response make_fault_response(int status, const std::string& text)
{
    Json::Value body(Json::objectValue);
    body["fault"] = text;
    return make_response(status, body);
}

http_response make_error_response(const error& ec)
{
    switch (ec.code)
    {
    case error_code::refused:
        return make_fault_response(http_status::misdirected, ec.text);
    case error_code::not_found:
        return make_fault_response(http_status::not_found, ec.text);
    default:
        return make_fault_response(http_status::bad_request, ec.text);
    }
}

struct patch_submission
{
    patch_request request;
    Json::Value patch;
};

result<patch_submission> parse_submission(const std::string& text)
{
    BOOST_LEAF_AUTO(body, parse_json(text));
    bool has_expected_members = body.isObject() && body.size() == 3 &&
                                body["base"].isUInt64() && body["id"].isString() &&
                                body["patch"].isObject();
    if (!has_expected_members)
    {
        return fail(error_code::invalid_argument,
                    "a patch needs base, id and patch, and nothing else");
    }
    patch_submission made;
    made.request.base = config_version{body["base"].asUInt64()};
    made.request.id = patch_id(body["id"].asString());
    made.patch = body["patch"];
    if (made.request.id.empty())
    {
        return fail(error_code::invalid_argument, "the patch id is empty");
    }
    return made;
}

http_response make_patch_response(const patch_result& ended)
{
    Json::Value body(Json::objectValue);
    body["version"] = static_cast<Json::UInt64>(ended.version.value);
    if (!ended.fault.empty())
    {
        body["end"] = "invalid";
        body["fault"] = ended.fault;
        return make_response(http_status::bad_request, body);
    }
    body["end"] = std::string(name_of(ended.end));
    switch (ended.end)
    {
    case patch_end::accepted:
        return make_response(http_status::ok, body);
    case patch_end::stale:
    case patch_end::id_reused:
        return make_response(http_status::conflict, body);
    case patch_end::unavailable:
    case patch_end::unknown:
        break;
    }
    return make_response(http_status::unavailable, body);
}

} // namespace

assigner_api::assigner_api(assigner_context& context,
                           const config_agent& config,
                           std::function<fleet_view()> view)
    : context_(context), config_(config), make_view_(std::move(view))
{
    rpc_.add("config.get",
             [this](const Json::Value&) -> result<Json::Value>
             { return Json::Value(configuration_text(config_.current())); });
}

void assigner_api::handle(http_request request, std::shared_ptr<http_responder> responder)
{
    std::string method_and_path = request.method + " " + std::string(path_of(request));
    if (method_and_path == "POST /rpc")
    {
        responder->respond(
            make_json_response(http_status::ok, rpc_.dispatch(request.body)));
        return;
    }
    if (method_and_path == "POST /operator/patch")
    {
        handle_patch(request, responder);
        return;
    }
    if (method_and_path == "GET /operator/config")
    {
        responder->respond(
            make_json_response(http_status::ok, configuration_text(config_.current())));
        return;
    }
    if (method_and_path == "GET /operator/status")
    {
        responder->respond(make_response(http_status::ok, make_status(make_view_())));
        return;
    }
    if (method_and_path == "GET /operator/explain")
    {
        responder->respond(handle_explain(request));
        return;
    }
    if (method_and_path == "POST /operator/move")
    {
        responder->respond(handle_move(request));
        return;
    }
    responder->respond(make_fault_response(http_status::not_found, "no such path"));
}

void assigner_api::handle_patch(const http_request& request,
                                const std::shared_ptr<http_responder>& responder)
{
    value_or_handle(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(submission, parse_submission(request.body));
            patch_job::start(context_,
                             submission.request,
                             submission.patch,
                             [responder](const patch_result& ended)
                             { responder->respond(make_patch_response(ended)); });
            return {};
        },
        [&](const error& ec)
        { responder->respond(make_fault_response(http_status::bad_request, ec.text)); });
}

http_response assigner_api::handle_explain(const http_request& request) const
{
    // The query has the form of a request target: ?/SERVICE/KEY
    std::size_t query_mark = request.target.find('?');
    std::string query =
        query_mark == std::string::npos ? "" : request.target.substr(query_mark + 1);
    std::optional<request_target> target = parse_request_target(query);
    if (!target)
    {
        return make_fault_response(http_status::bad_request,
                                   "the query must be /SERVICE/KEY");
    }
    return value_or_handle(
        [&]() -> result<http_response>
        {
            BOOST_LEAF_AUTO(body,
                            make_explanation(make_view_(), target->service, target->key));
            return make_response(http_status::ok, body);
        },
        make_error_response);
}

http_response assigner_api::handle_move(const http_request& request) const
{
    return value_or_handle(
        [&]() -> result<http_response>
        {
            BOOST_LEAF_AUTO(body, parse_json(request.body));
            bool has_expected_members = body.isObject() && body.size() == 3 &&
                                        body["service"].isString() &&
                                        body["key"].isString() && body["to"].isString();
            if (!has_expected_members)
            {
                return fail(error_code::invalid_argument,
                            "a move needs service, key and to");
            }
            BOOST_LEAF_CHECK(move_key(make_view_(),
                                      service_name(body["service"].asString()),
                                      body["key"].asString(),
                                      server_id(body["to"].asString())));
            return make_response(http_status::accepted, Json::Value(Json::objectValue));
        },
        make_error_response);
}

} // namespace camphorrock
