#include "load/operators_settings.hpp"

namespace camphorrock
{
namespace
{

constexpr duration_range some_time{milliseconds(1), seconds(86400)};
constexpr integer_range any_seed{0, 1'000'000'000};
constexpr integer_range submission_bounds{1, 100};
constexpr number_range any_share{0, 1};

void require_some(settings_map& root, const char* key, bool is_empty)
{
    if (is_empty)
    {
        root.add_fault(key, "must name at least one");
    }
}

} // namespace

operators_settings read_operators_settings(settings_map root)
{
    operators_settings out;
    out.seed = static_cast<std::uint64_t>(
        root.integer_or("seed", any_seed, static_cast<std::int64_t>(out.seed)));
    out.length = root.milliseconds_or("length_ms", some_time, out.length);
    out.drain = root.milliseconds_or("drain_ms", some_time, out.drain);
    out.history = root.text_or("history", "");
    out.assigners = root.endpoints("assigners");
    out.routers = root.endpoints("routers");
    out.store = root.endpoints("store");
    for (std::string& it : root.texts("services"))
    {
        out.services.emplace_back(std::move(it));
    }
    out.poll_period = root.milliseconds_or("poll_ms", some_time, out.poll_period);
    out.round_pause = root.milliseconds_or("pause_ms", some_time, out.round_pause);
    out.timeout = root.milliseconds_or("timeout_ms", some_time, out.timeout);
    out.submissions = static_cast<unsigned>(
        root.integer_or("submissions", submission_bounds, out.submissions));
    out.repeat_share = root.number_or("repeat_share", any_share, out.repeat_share);
    require_some(root, "assigners", out.assigners.empty());
    require_some(root, "routers", out.routers.empty());
    require_some(root, "store", out.store.empty());
    require_some(root, "services", out.services.empty());
    return out;
}

} // namespace camphorrock
