#include "app/process_settings.hpp"

#include "app/endpoint_text.hpp"

#include <limits>

namespace camphorrock
{
namespace
{

constexpr integer_range allowed_seeds{0, std::numeric_limits<std::int64_t>::max()};

} // namespace

process_settings read_process_settings(settings_map& root)
{
    process_settings settings;
    settings.id = instance_id(root.require_text("id"));
    settings.zone = data_centre(root.require_text("data_centre"));
    settings.peer = root.require_endpoint("peer");
    settings.advertise = root.endpoint_or("advertise", endpoint());
    settings.source = root.text_or("source", "");
    settings.admin = root.require_endpoint("admin");
    settings.store = root.endpoints("store");
    settings.platform = root.require_endpoint("platform");
    settings.seed = static_cast<std::uint64_t>(root.integer_or("seed", allowed_seeds, 0));
    if (settings.advertise.str().ends_with(":0"))
    {
        root.add_fault("advertise", "must have a port other than 0");
    }
    if (!settings.source.empty() && !is_ip_text(settings.source))
    {
        root.add_fault("source", "must be an IP address");
    }
    if (settings.store.empty())
    {
        root.add_fault("store", "must name at least one endpoint");
    }
    return settings;
}

} // namespace camphorrock
