#include "router/router_settings.hpp"

namespace camphorrock
{
namespace
{

constexpr integer_range body_bounds{1 << 10, 64 << 20};
constexpr integer_range request_bounds{16, 1000000};
constexpr duration_range timeout_bounds{milliseconds(10), seconds(3600)};

} // namespace

router_settings read_router_settings(settings_map root)
{
    router_settings settings;
    static_cast<process_settings&>(settings) = read_process_settings(root);
    settings.listen = root.require_endpoint("listen");
    settings.default_timeout = root.milliseconds_or(
        "default_timeout_ms", timeout_bounds, settings.default_timeout);
    settings.drain_limit =
        root.milliseconds_or("drain_limit_ms", timeout_bounds, settings.drain_limit);
    settings.max_body_bytes = static_cast<std::size_t>(
        root.integer_or("max_body_bytes", body_bounds, settings.max_body_bytes));
    settings.max_requests = static_cast<std::size_t>(
        root.integer_or("max_requests", request_bounds, settings.max_requests));
    if (settings.peer == settings.listen)
    {
        root.add_fault("peer", "must differ from listen");
    }
    return settings;
}

} // namespace camphorrock
