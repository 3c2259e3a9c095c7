#include "app/admin_server.hpp"

#include "net/http_status.hpp"

namespace camphorrock
{
namespace
{

http_response typed_answer(int status, const char* type, std::string body)
{
    http_response answer;
    answer.status = status;
    answer.headers.add("Content-Type", type);
    answer.body = std::move(body);
    return answer;
}

} // namespace

http_response text_answer(int status, std::string body)
{
    return typed_answer(status, "text/plain; charset=utf-8", std::move(body));
}

http_response json_answer(int status, std::string body)
{
    return typed_answer(status, "application/json", std::move(body));
}

std::string_view path_of(const http_request& request)
{
    return std::string_view(request.target).substr(0, request.target.find('?'));
}

admin_server::admin_server(metrics_registry& metrics, std::function<bool()> is_ready)
{
    add("GET",
        "/healthz",
        [](const http_request&) { return text_answer(http_status::ok, "ok\n"); });
    add("GET",
        "/readyz",
        [is_ready = std::move(is_ready)](const http_request&)
        {
            return is_ready() ? text_answer(http_status::ok, "ready\n")
                              : text_answer(http_status::unavailable, "not ready\n");
        });
    add("GET",
        "/metrics",
        [&metrics](const http_request&)
        {
            return typed_answer(http_status::ok,
                                "text/plain; version=0.0.4",
                                metrics.to_prometheus_text());
        });
}

result<std::unique_ptr<admin_server>> admin_server::create(event_loop& loop,
                                                           endpoint address,
                                                           metrics_registry& metrics,
                                                           std::function<bool()> is_ready)
{
    std::unique_ptr<admin_server> made(new admin_server(metrics, std::move(is_ready)));
    http_server_options options;
    options.address = std::move(address);
    BOOST_LEAF_ASSIGN(made->server_, http_server::create(loop, options, *made));
    return made;
}

void admin_server::add(const std::string& method,
                       const std::string& path,
                       path_handler what)
{
    paths_[method + " " + path] = std::move(what);
}

endpoint admin_server::bound() const
{
    return server_->bound();
}

http_response admin_server::answer(const http_request& request) const
{
    auto it = paths_.find(request.method + " " + std::string(path_of(request)));
    return it == paths_.end() ? text_answer(http_status::not_found, "no such path\n")
                              : it->second(request);
}

void admin_server::handle(http_request request, std::shared_ptr<http_responder> responder)
{
    responder->respond(answer(request));
}

} // namespace camphorrock
