#include "load/operators_settings.hpp"

namespace camphorrock
{
namespace
{

constexpr duration_range positive_time_range{milliseconds(1), seconds(86400)};
constexpr integer_range seed_range{0, 1'000'000'000};
constexpr integer_range submissions_range{1, 100};
constexpr number_range share_range{0, 1};

void require_not_empty(settings_map& root, const char* key, bool is_empty)
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
        root.integer_or("seed", seed_range, static_cast<std::int64_t>(out.seed)));
    out.length = root.milliseconds_or("length_ms", positive_time_range, out.length);
    out.drain = root.milliseconds_or("drain_ms", positive_time_range, out.drain);
    out.history = root.text_or("history", "");
    out.assigners = root.endpoints("assigners");
    out.routers = root.endpoints("routers");
    out.store = root.endpoints("store");
    for (std::string& it : root.texts("services"))
    {
        out.services.emplace_back(std::move(it));
    }
    out.poll_period =
        root.milliseconds_or("poll_ms", positive_time_range, out.poll_period);
    out.round_pause =
        root.milliseconds_or("pause_ms", positive_time_range, out.round_pause);
    out.timeout = root.milliseconds_or("timeout_ms", positive_time_range, out.timeout);
    out.max_submissions = static_cast<unsigned>(
        root.integer_or("submissions", submissions_range, out.max_submissions));
    out.repeat_share = root.number_or("repeat_share", share_range, out.repeat_share);
    require_not_empty(root, "assigners", out.assigners.empty());
    require_not_empty(root, "routers", out.routers.empty());
    require_not_empty(root, "store", out.store.empty());
    require_not_empty(root, "services", out.services.empty());
    return out;
}

} // namespace camphorrock
