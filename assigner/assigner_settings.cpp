#include "assigner/assigner_settings.hpp"

#include <limits>

namespace camphorrock
{
namespace
{

constexpr duration_range lease_bounds{seconds(1), seconds(60)};

} // namespace

assigner_settings read_assigner_settings(settings_map root)
{
    assigner_settings settings;
    settings.id = instance_id(root.require_text("id"));
    settings.zone = data_centre(root.require_text("data_centre"));
    settings.peer = root.require_endpoint("peer");
    settings.admin = root.require_endpoint("admin");
    settings.store = root.endpoints("store");
    settings.platform = root.require_endpoint("platform");
    settings.lease_ttl =
        root.milliseconds_or("lease_ttl_ms", lease_bounds, settings.lease_ttl);
    settings.seed = static_cast<std::uint64_t>(
        root.integer_or("seed", {0, std::numeric_limits<std::int64_t>::max()}, 0));
    if (settings.store.empty())
    {
        root.fault("store", "must name at least one endpoint");
    }
    return settings;
}

} // namespace camphorrock
