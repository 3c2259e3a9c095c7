// camphorrock-fake-platform: the fake platform. Serves the store and the instance list on
// one port, and fault injection and call counts on another. See platform_service.hpp.

#include "app/admin_server.hpp"
#include "app/command_line.hpp"
#include "app/metrics_registry.hpp"
#include "app/program.hpp"
#include "codec/json_text.hpp"
#include "fakes/platform/platform_service.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/http_status.hpp"

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>

using namespace camphorrock;

namespace
{

constexpr std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;

struct platform_settings
{
    std::string listen = "127.0.0.1:0";
    std::string admin = "127.0.0.1:0";
    std::int64_t list_lag_ms = 2000;
    std::int64_t seed = 1;
    double writes_per_second = 0;
    double reads_per_second = 0;
};

void add_options(command_line& line, platform_settings& settings)
{
    line.add_option(
        "--listen", settings.listen, "address of the store and the instance list");
    line.add_option("--admin", settings.admin, "address for faults and counts");
    line.add_option("--list-lag-ms",
                    settings.list_lag_ms,
                    "delay after which the instance list shows a change");
    line.add_option("--seed", settings.seed, "seed of the random faults");
    line.add_option("--writes-per-second",
                    settings.writes_per_second,
                    "limit of writes; 0: no limit");
    line.add_option(
        "--reads-per-second", settings.reads_per_second, "limit of reads; 0: no limit");
    constexpr double day_ms = 86400000;
    constexpr double max_calls_per_second = 1000000;
    line.require_range("--list-lag-ms", 0, day_ms);
    line.require_range("--writes-per-second", 0, max_calls_per_second);
    line.require_range("--reads-per-second", 0, max_calls_per_second);
}

http_response change_faults(fakes::platform_service& service, const http_request& request)
{
    return value_or_handle(
        [&]() -> result<http_response>
        {
            BOOST_LEAF_AUTO(body, parse_json(request.body));
            BOOST_LEAF_CHECK(service.set_faults(body));
            return make_json_response(http_status::ok, write_json(service.faults()));
        },
        [](const error& ec)
        { return make_text_response(http_status::bad_request, ec.text + "\n"); });
}

void add_paths(admin_server& admin, fakes::platform_service& service)
{
    admin.add("POST",
              "/faults",
              [&](const http_request& request)
              { return change_faults(service, request); });
    admin.add(
        "GET",
        "/faults",
        [&](const http_request&)
        { return make_json_response(http_status::ok, write_json(service.faults())); });
    admin.add("GET",
              "/stats",
              [&](const http_request&) {
                  return make_json_response(http_status::ok, write_json(service.stats()));
              });
}

result<int> serve(const platform_settings& settings)
{
    BOOST_LEAF_AUTO(loop, event_loop::create());
    fakes::platform_options options;
    options.list_lag = milliseconds(settings.list_lag_ms);
    options.writes_per_second = settings.writes_per_second;
    options.reads_per_second = settings.reads_per_second;
    options.seed = static_cast<std::uint64_t>(settings.seed);
    fakes::platform_service service(*loop, options);
    http_server_options server_options;
    server_options.address = endpoint(settings.listen);
    server_options.max_body_bytes = max_body_bytes;
    BOOST_LEAF_AUTO(server, http_server::create(*loop, server_options, service));
    metrics_registry metrics;
    BOOST_LEAF_AUTO(admin,
                    admin_server::create(
                        *loop, endpoint(settings.admin), metrics, [] { return true; }));
    add_paths(*admin, service);
    const watch_handle on_term = loop->on_signal(SIGTERM, [&] { loop->stop(); });
    const watch_handle on_int = loop->on_signal(SIGINT, [&] { loop->stop(); });
    std::printf("admin %s\n", admin->bound().str().c_str());
    print_listening(server->bound());
    loop->run();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    platform_settings settings;
    command_line line("camphorrock-fake-platform",
                      "A fake of the platform: key-value store and instance list.");
    add_options(line, settings);
    if (const std::optional<int> status = line.parse(argc, argv))
    {
        return *status;
    }
    return value_or_handle([&] { return serve(settings); },
                           [](const error& ec)
                           {
                               std::fprintf(stderr, "%s\n", ec.text.c_str());
                               return exit_failure;
                           });
}
