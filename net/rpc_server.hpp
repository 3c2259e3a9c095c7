#pragma once

// JSON-RPC 2.0 dispatch by libjsonrpccpp's protocol handler, on the event loop. It turns
// a request body into an answer body and uses no socket and no thread. An http_handler
// passes it the body of POST /rpc.
//
//     rpc_server rpc;
//     rpc.add("ownership.grant", [&](const Json::Value& params) -> result<Json::Value>
//     {...}); answer.body = rpc.dispatch(request.body);
//
// Bad JSON, an unknown method and an error result become JSON-RPC error objects: -32700,
// -32601, -32602 (error_code::invalid_argument), and -32000 - code for the others, with
// the error's text as message. Batches are answered in order.

#include "core/base/result.hpp"

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace camphorrock
{

class rpc_server
{
public:
    using method = std::function<result<Json::Value>(const Json::Value& params)>;

    rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;
    ~rpc_server();

    void add(const std::string& name, method fn);

    // Never throws; always returns a JSON-RPC answer. Notifications (calls without an id)
    // are refused, since every method has a result.
    std::string dispatch(const std::string& body);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace camphorrock
