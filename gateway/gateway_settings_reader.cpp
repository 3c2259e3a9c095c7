#include "gateway/gateway_settings_reader.hpp"

#include <cmath>
#include <limits>

namespace camphorrock
{
namespace
{

constexpr duration_range stop_bounds{milliseconds(100), seconds(600)};
constexpr number_range processor_bounds{0.001, 1000};
constexpr integer_range seed_bounds{0, std::numeric_limits<std::int64_t>::max()};

} // namespace

gateway_settings read_gateway_settings(settings_map& root)
{
    gateway_settings settings;
    settings.id = instance_id(root.require_text("id"));
    settings.zone = data_centre(root.require_text("zone"));
    settings.listen = root.require_endpoint("listen");
    settings.ready = root.require_endpoint("ready");
    settings.peer = root.require_endpoint("peer");
    settings.metrics = root.endpoint_or("metrics", endpoint());
    settings.store = root.require_endpoint("store");
    settings.stop_limit =
        root.milliseconds_or("stop_limit_ms", stop_bounds, settings.stop_limit);
    const double cores = root.number_or("processors", processor_bounds, 1);
    settings.processor_percent = static_cast<unsigned>(std::lround(100 * cores));
    settings.seed = static_cast<std::uint64_t>(root.integer_or("seed", seed_bounds, 0));
    if (settings.peer == settings.listen || settings.ready == settings.listen)
    {
        root.add_fault("listen", "must differ from ready and peer");
    }
    return settings;
}

} // namespace camphorrock
