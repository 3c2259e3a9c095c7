#include "net/rpc_server.hpp"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <exception>
#include <unordered_map>
#include <utility>

namespace camphorrock
{
namespace
{

// Errors are sent as -32000 - code, so that a caller can tell their kinds apart.
constexpr int server_error_base = -32000;

constexpr const char* invalid_request =
    R"({"error":{"code":-32600,"message":"the body is not a JSON-RPC request"},)"
    R"("id":null,"jsonrpc":"2.0"})";

int rpc_code_of(error_code code)
{
    if (code == error_code::invalid_argument)
    {
        return jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS;
    }
    return server_error_base - static_cast<int>(code);
}

} // namespace

struct rpc_server::impl : jsonrpc::IProcedureInvokationHandler
{
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
    std::unordered_map<std::string, method> methods;

    impl()
        : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    // libjsonrpccpp expects an error as an exception, which it catches itself.
    void HandleMethodCall(jsonrpc::Procedure& procedure,
                          const Json::Value& params,
                          Json::Value& out) override
    {
        const method& fn = methods.at(procedure.GetProcedureName());
        error failed;
        bool is_failed = false;
        out = value_or_handle([&] { return fn(params); },
                              [&](const error& ec)
                              {
                                  failed = ec;
                                  is_failed = true;
                                  return Json::Value();
                              });
        if (is_failed)
        {
            throw jsonrpc::JsonRpcException(rpc_code_of(failed.code), failed.text);
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override {}
};

rpc_server::rpc_server() : impl_(std::make_unique<impl>()) {}

rpc_server::~rpc_server() = default;

void rpc_server::add(const std::string& name, method fn)
{
    impl_->methods[name] = std::move(fn);
    impl_->protocol->AddProcedure(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string rpc_server::dispatch(const std::string& body)
{
    try
    {
        std::string answer;
        impl_->protocol->HandleRequest(body, answer);
        return answer;
    }
    catch (const std::exception&)
    {
        // jsoncpp throws on JSON that is nested too deeply or of an unexpected type.
        return invalid_request;
    }
}

} // namespace camphorrock
