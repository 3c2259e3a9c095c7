#pragma once

// JSON-RPC 2.0 calls over an http_client: POST /rpc.
//
//     rpc.call(peer, "assignment.update", params, milliseconds(300), [&](rpc_result got)
//     {...});
//
// Each call ends in exactly one callback, never within call().

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "net/http_client.hpp"

#include <json/value.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace camphorrock
{

enum class rpc_end
{
    answered,           // `value` is the method's result
    refused,            // the other side answered with an error object; see `text`
    not_sent,           // no byte was sent; whether the other side runs is unknown
    connection_refused, // no byte was sent: the other host refused the connection
    no_answer,          // the call may have taken effect
};

struct rpc_result
{
    rpc_end end = rpc_end::not_sent;
    Json::Value value;
    int code = 0;     // JSON-RPC error code, for `refused`
    std::string text; // why there is no value
};

// One call of a batch.
struct rpc_call
{
    std::string method;
    Json::Value params;
};

class rpc_client
{
public:
    using callback = std::function<void(rpc_result)>;
    using batch_callback = std::function<void(std::vector<rpc_result>)>;

    // `http` must outlive the client.
    explicit rpc_client(http_client& http) : http_(http) {}

    void call(const endpoint& to,
              const std::string& method,
              Json::Value params,
              duration timeout,
              callback done,
              connection_choice connection = connection_choice::pooled);

    // Sends all calls in one exchange. The results are in the order of the calls; if the
    // exchange itself fails, each result says how.
    void batch(const endpoint& to,
               const std::vector<rpc_call>& calls,
               duration timeout,
               batch_callback done,
               connection_choice connection = connection_choice::pooled);

    // See http_client::drop_connections.
    void drop_connections(const endpoint& to)
    {
        http_.drop_connections(to);
    }

private:
    http_client& http_;
    unsigned next_id_ = 1;
};

} // namespace camphorrock
