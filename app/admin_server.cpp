#include "app/admin_server.hpp"

#include "net/http_status.hpp"

namespace camphorrock
{
namespace
{

http_response make_response(int status, const char* type, std::string body)
{
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", type);
    response.body = std::move(body);
    return response;
}

} // namespace

http_response make_text_response(int status, std::string body)
{
    return make_response(status, "text/plain; charset=utf-8", std::move(body));
}

http_response make_json_response(int status, std::string body)
{
    return make_response(status, "application/json", std::move(body));
}

std::string_view path_of(const http_request& request)
{
    return std::string_view(request.target).substr(0, request.target.find('?'));
}

admin_server::admin_server(metrics_registry& metrics, std::function<bool()> is_ready)
{
    add("GET",
        "/healthz",
        [](const http_request&) { return make_text_response(http_status::ok, "ok\n"); });
    add("GET",
        "/readyz",
        [is_ready = std::move(is_ready)](const http_request&)
        {
            return is_ready()
                       ? make_text_response(http_status::ok, "ready\n")
                       : make_text_response(http_status::unavailable, "not ready\n");
        });
    add("GET",
        "/metrics",
        [&metrics](const http_request&)
        {
            return make_response(http_status::ok,
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
                       path_handler handler)
{
    handlers_[method + " " + path] = std::move(handler);
}

endpoint admin_server::bound() const
{
    return server_->bound();
}

http_response admin_server::answer(const http_request& request) const
{
    auto it = handlers_.find(request.method + " " + std::string(path_of(request)));
    return it == handlers_.end()
               ? make_text_response(http_status::not_found, "no such path\n")
               : it->second(request);
}

void admin_server::handle(http_request request, std::shared_ptr<http_responder> responder)
{
    responder->respond(answer(request));
}

} // namespace camphorrock
