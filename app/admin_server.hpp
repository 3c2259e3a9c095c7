#pragma once

// The admin port of a program: GET /healthz, /readyz, /metrics, and paths of its own.
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

    // Listens at once. `loop` and `metrics` must outlive the server. `is_ready` decides
    // /readyz: 200, or 503 for a platform balancer to send callers elsewhere.
    static result<std::unique_ptr<admin_server>> create(event_loop& loop,
                                                        endpoint address,
                                                        metrics_registry& metrics,
                                                        std::function<bool()> is_ready);

    // Adds a path; the query is not part of it.
    void add(const std::string& method, const std::string& path, path_handler what);

    // The address with the port that was bound.
    endpoint bound() const;

    // The answer to one request; what the port does with it.
    http_response answer(const http_request& request) const;

private:
    admin_server(metrics_registry& metrics, std::function<bool()> is_ready);
    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    std::map<std::string, path_handler> paths_; // by "METHOD /path"
    std::unique_ptr<http_server> server_;
};

// A plain-text answer.
http_response text_answer(int status, std::string body);

// A JSON answer from text that is JSON already.
http_response json_answer(int status, std::string body);

// The path of a request's target, without the query.
std::string_view path_of(const http_request& request);

} // namespace camphorrock
