#include "load/config_check.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr std::string_view accepted = "accepted";
constexpr std::string_view stale = "stale";

// The first answer "accepted" of each id.
using accepted_patches = std::map<patch_id, const patch_record*>;

std::string text_of(config_version version)
{
    return std::to_string(version.value);
}

std::string describe_patch(const patch_record& it)
{
    return "patch " + it.id.str() + " on base " + text_of(it.base) + " accepted as " +
           text_of(it.version) + " at " + std::to_string(it.end) + " us";
}

std::string describe_router(const router_config_record& it)
{
    return "version " + text_of(it.version) + " between " + std::to_string(it.start) +
           " and " + std::to_string(it.end) + " us";
}

std::string describe_document(const config_document_record& it)
{
    return "document of version " + text_of(it.version) + " read between " +
           std::to_string(it.start) + " and " + std::to_string(it.end) + " us";
}

accepted_patches accepted_in(const config_history& history)
{
    accepted_patches found;
    for (const patch_record& it : history.patches)
    {
        if (it.ended != accepted)
        {
            continue;
        }
        auto [at, is_new] = found.try_emplace(it.id, &it);
        if (!is_new && it.end < at->second->end)
        {
            at->second = &it;
        }
    }
    return found;
}

// A process may be asked anew before an earlier answer came, so only answers that follow
// each other are compared.
void find_versions_fallen(const config_history& history, std::vector<violation>& out)
{
    std::map<std::pair<endpoint, std::string>, std::vector<const router_config_record*>>
        processes;
    for (const router_config_record& it : history.routers)
    {
        processes[{it.router, it.process}].push_back(&it);
    }
    for (auto& [process, seen] : processes)
    {
        std::sort(seen.begin(),
                  seen.end(),
                  [](const auto* one, const auto* other)
                  { return one->end < other->end; });
        for (std::size_t n = 1; n < seen.size(); ++n)
        {
            const router_config_record& before = *seen[n - 1];
            const router_config_record& after = *seen[n];
            if (before.end <= after.start && after.version < before.version)
            {
                out.push_back({violation_kind::version_fell,
                               process.first.str(),
                               describe_router(before) + "; " + describe_router(after)});
            }
        }
    }
}

void find_old_versions(const config_history& history,
                       const accepted_patches& patches,
                       std::vector<violation>& out)
{
    // By the time of the answer, each with the highest version up to then.
    std::vector<const patch_record*> newest;
    for (const auto& [id, it] : patches)
    {
        newest.push_back(it);
    }
    std::sort(newest.begin(),
              newest.end(),
              [](const auto* one, const auto* other) { return one->end < other->end; });
    for (std::size_t n = 1; n < newest.size(); ++n)
    {
        if (newest[n]->version < newest[n - 1]->version)
        {
            newest[n] = newest[n - 1];
        }
    }
    std::map<history_time, const patch_record*> by_time;
    for (const patch_record* it : newest)
    {
        by_time.emplace(it->end, it);
    }
    for (const router_config_record& it : history.routers)
    {
        if (!it.is_serving || it.start < config_bound_us)
        {
            continue;
        }
        auto after = by_time.lower_bound(it.start - config_bound_us);
        if (after == by_time.begin())
        {
            continue;
        }
        const patch_record& due = *std::prev(after)->second;
        if (it.version < due.version)
        {
            out.push_back(
                {violation_kind::old_version,
                 it.router.str(),
                 "serves with " + describe_router(it) + "; " + describe_patch(due)});
        }
    }
}

void find_two_on_one_base(const accepted_patches& patches, std::vector<violation>& out)
{
    std::map<config_version, const patch_record*> bases;
    for (const auto& [id, it] : patches)
    {
        auto [at, is_new] = bases.try_emplace(it->base, it);
        if (!is_new)
        {
            out.push_back({violation_kind::two_on_one_base,
                           text_of(it->base),
                           describe_patch(*at->second) + "; " + describe_patch(*it)});
        }
    }
}

// The version that the document lists for a patch.
std::optional<config_version> listed(const config_document_record& document,
                                     const patch_id& id)
{
    for (const listed_patch& it : document.patches)
    {
        if (it.id == id)
        {
            return it.version;
        }
    }
    return std::nullopt;
}

// A document lists its latest patches only; older ones are not looked for.
bool is_within_list(const config_document_record& document, config_version version)
{
    return document.patches.empty() ? document.version < version
                                    : document.patches.front().version <= version;
}

void find_lost_patches(const config_history& history,
                       const accepted_patches& patches,
                       std::vector<violation>& out)
{
    for (const config_document_record& document : history.documents)
    {
        for (const auto& [id, it] : patches)
        {
            bool is_due =
                it->end <= document.start && is_within_list(document, it->version);
            if (is_due && listed(document, id) != it->version)
            {
                out.push_back({violation_kind::patch_lost,
                               id.str(),
                               describe_patch(*it) + "; not in the " +
                                   describe_document(document)});
            }
        }
    }
}

void find_patches_twice(const config_history& history, std::vector<violation>& out)
{
    std::map<patch_id, config_version> made;
    std::set<patch_id> named;
    auto add = [&](const patch_id& id, config_version version, const std::string& where)
    {
        auto [at, is_new] = made.try_emplace(id, version);
        if (!is_new && at->second != version && named.insert(id).second)
        {
            out.push_back({violation_kind::patch_twice,
                           id.str(),
                           "made version " + text_of(at->second) + " and " +
                               text_of(version) + ", " + where});
        }
    };
    for (const config_document_record& document : history.documents)
    {
        for (const listed_patch& it : document.patches)
        {
            add(it.id, it.version, describe_document(document));
        }
    }
    for (const patch_record& it : history.patches)
    {
        if (it.ended == accepted)
        {
            add(it.id, it.version, describe_patch(it));
        }
    }
}

void find_patches_after_denial(const config_history& history, std::vector<violation>& out)
{
    std::map<patch_id, const config_document_record*> present;
    for (const config_document_record& document : history.documents)
    {
        for (const listed_patch& it : document.patches)
        {
            present.try_emplace(it.id, &document);
        }
    }
    for (const patch_record& it : history.patches)
    {
        auto at = present.find(it.id);
        if (it.ended == stale && at != present.end())
        {
            out.push_back({violation_kind::patch_after_denial,
                           it.id.str(),
                           "told stale at " + std::to_string(it.end) +
                               " us; listed in the " + describe_document(*at->second)});
        }
    }
}

} // namespace

std::vector<violation> find_config_faults(const config_history& history)
{
    std::vector<violation> out;
    accepted_patches patches = accepted_in(history);
    find_versions_fallen(history, out);
    find_old_versions(history, patches, out);
    find_two_on_one_base(patches, out);
    find_lost_patches(history, patches, out);
    find_patches_twice(history, out);
    find_patches_after_denial(history, out);
    return out;
}

std::size_t count_accepted(const config_history& history)
{
    return accepted_in(history).size();
}

} // namespace camphorrock
