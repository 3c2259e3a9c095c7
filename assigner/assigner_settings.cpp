#include "assigner/assigner_settings.hpp"

namespace camphorrock
{
namespace
{

constexpr duration_range lease_bounds{seconds(1), seconds(60)};

} // namespace

assigner_settings read_assigner_settings(settings_map root)
{
    assigner_settings settings;
    static_cast<process_settings&>(settings) = read_process_settings(root);
    settings.lease_ttl =
        root.milliseconds_or("lease_ttl_ms", lease_bounds, settings.lease_ttl);
    return settings;
}

} // namespace camphorrock
