#include "router/router_settings.hpp"

#include <limits>

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
    settings.id = instance_id(root.require_text("id"));
    settings.zone = data_centre(root.require_text("data_centre"));
    settings.listen = root.require_endpoint("listen");
    settings.peer = root.require_endpoint("peer");
    settings.admin = root.require_endpoint("admin");
    settings.store = root.endpoints("store");
    settings.platform = root.require_endpoint("platform");
    settings.default_timeout = root.milliseconds_or(
        "default_timeout_ms", timeout_bounds, settings.default_timeout);
    settings.drain_limit =
        root.milliseconds_or("drain_limit_ms", timeout_bounds, settings.drain_limit);
    settings.max_body_bytes = static_cast<std::size_t>(
        root.integer_or("max_body_bytes", body_bounds, settings.max_body_bytes));
    settings.max_requests = static_cast<std::size_t>(
        root.integer_or("max_requests", request_bounds, settings.max_requests));
    settings.seed = static_cast<std::uint64_t>(
        root.integer_or("seed", {0, std::numeric_limits<std::int64_t>::max()}, 0));
    if (settings.store.empty())
    {
        root.fault("store", "must name at least one endpoint");
    }
    if (settings.peer == settings.listen)
    {
        root.fault("peer", "must differ from listen");
    }
    return settings;
}

} // namespace camphorrock
