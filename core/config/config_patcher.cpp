#include "core/config/config_patcher.hpp"

#include "core/base/enum_names.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr enum_names<patch_end, 5> end_names{{{
    {patch_end::accepted, "accepted"},
    {patch_end::stale, "stale"},
    {patch_end::id_reused, "id_reused"},
    {patch_end::unavailable, "unavailable"},
    {patch_end::unknown, "unknown"},
}}};

config_version next(config_version version)
{
    return config_version{version.value + 1};
}

const applied_patch* find_patch(const configuration& config, const patch_id& id)
{
    auto it = std::find_if(config.patches.begin(),
                           config.patches.end(),
                           [&](const applied_patch& patch) { return patch.id == id; });
    return it == config.patches.end() ? nullptr : &*it;
}

} // namespace

std::string_view name_of(patch_end value)
{
    return end_names.name(value);
}

patch_action config_patcher::start()
{
    return {patch_step::read, {}, {}};
}

patch_action config_patcher::on_read(const configuration* current)
{
    if (current == nullptr)
    {
        return answer_failure();
    }
    if (const applied_patch* found = find_patch(*current, request_.id))
    {
        bool is_same = found->version == next(request_.base);
        return answer(is_same ? patch_end::accepted : patch_end::id_reused,
                      found->version);
    }
    if (current->version != request_.base)
    {
        return answer(patch_end::stale, current->version);
    }
    if (swaps_ == options_.max_swaps)
    {
        return answer_failure();
    }
    ++swaps_;
    return {patch_step::swap, {}, {}};
}

patch_action config_patcher::on_swap(store_end end)
{
    switch (end)
    {
    case store_end::done:
        return answer(patch_end::accepted, next(request_.base));
    case store_end::failed:
        return answer_failure();
    case store_end::unknown:
        may_have_applied_ = true;
        break;
    case store_end::conflict:
        break;
    }
    return {patch_step::read, {}, {}};
}

patch_action config_patcher::answer(patch_end end, config_version version) const
{
    return {patch_step::answer, end, version};
}

patch_action config_patcher::answer_failure() const
{
    return answer(may_have_applied_ ? patch_end::unknown : patch_end::unavailable);
}

configuration next_configuration(const configuration& current,
                                 configuration merged,
                                 const patch_request& request)
{
    merged.version = next(current.version);
    merged.patches = current.patches;
    merged.patches.push_back({request.id, merged.version});
    if (merged.patches.size() > max_applied_patches)
    {
        merged.patches.erase(merged.patches.begin());
    }
    return merged;
}

} // namespace camphorrock
