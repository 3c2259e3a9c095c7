#pragma once

// The admin port of a program: GET /healthz, /readyz and /metrics, and paths that the
// program adds.
//
//     result<std::unique_ptr<admin_server>> admin = admin_server::create(
//         loop, endpoint("127.0.0.1:9100"), metrics, [&] { return router.is_ready(); });
//     (*admin)->add("POST", "/drain", [&](const http_request& request) {...});

#include "app/metrics_registry.hpp"
#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "net/event_loop.hpp"
#include "net/http_message.hpp"
#include "net/http_server.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace camphorrock
{

class admin_server : private http_handler
{
public:
    using path_handler = std::function<http_response(const http_request&)>;

    // Starts to listen. `loop` and `metrics` must outlive the server. /readyz is answered
    // with 200 if `is_ready` returns true, otherwise with 503, on which the platform's
    // load balancer sends callers to another instance.
    static result<std::unique_ptr<admin_server>> create(event_loop& loop,
                                                        endpoint address,
                                                        metrics_registry& metrics,
                                                        std::function<bool()> is_ready);

    // Adds a handler of a path, given without a query. Replaces an earlier one.
    void add(const std::string& method, const std::string& path, path_handler handler);

    // The address with the port that was bound.
    endpoint bound() const;

    // Returns the response that the port sends to a request.
    http_response answer(const http_request& request) const;

private:
    admin_server(metrics_registry& metrics, std::function<bool()> is_ready);
    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    std::map<std::string, path_handler> handlers_; // by "METHOD /path"
    std::unique_ptr<http_server> server_;
};

// Makes a plain-text response.
http_response make_text_response(int status, std::string body);

// Makes a JSON response; `body` is JSON text.
http_response make_json_response(int status, std::string body);

// The path of a request's target, without the query.
std::string_view path_of(const http_request& request);

} // namespace camphorrock
