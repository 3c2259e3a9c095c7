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

// The earliest "accepted" answer for each patch id.
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

accepted_patches first_acceptances(const config_history& history)
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

// A router process may be queried again before an earlier answer arrives. Answers whose
// queries overlap in time have no known order, so they are not compared.
void find_version_regressions(const config_history& history, std::vector<violation>& out)
{
    std::map<std::pair<endpoint, std::string>, std::vector<const router_config_record*>>
        processes;
    for (const router_config_record& it : history.routers)
    {
        processes[{it.router, it.process}].push_back(&it);
    }
    for (auto& [process, answers] : processes)
    {
        std::sort(answers.begin(),
                  answers.end(),
                  [](const auto* one, const auto* other)
                  { return one->end < other->end; });
        for (std::size_t n = 1; n < answers.size(); ++n)
        {
            const router_config_record& before = *answers[n - 1];
            const router_config_record& after = *answers[n];
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
    // Ordered by the time of the answer. Each entry is replaced by the acceptance with
    // the highest version up to that time.
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
        if (!it.is_serving || it.start < max_config_lag_us)
        {
            continue;
        }
        auto first_recent = by_time.lower_bound(it.start - max_config_lag_us);
        if (first_recent == by_time.begin())
        {
            continue;
        }
        // The newest version that was accepted more than max_config_lag_us before.
        const patch_record& due = *std::prev(first_recent)->second;
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

// Returns the version that the document lists for a patch, or nullopt if it lists none.
std::optional<config_version> listed_version(const config_document_record& document,
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

// A document lists only its latest patches. Returns false if `version` is older than the
// oldest listed patch, so that its absence is not an error.
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
            if (is_due && listed_version(document, id) != it->version)
            {
                out.push_back({violation_kind::patch_lost,
                               id.str(),
                               describe_patch(*it) + "; not in the " +
                                   describe_document(document)});
            }
        }
    }
}

void find_patches_applied_twice(const config_history& history,
                                std::vector<violation>& out)
{
    std::map<patch_id, config_version> versions;
    std::set<patch_id> reported_ids;
    auto add = [&](const patch_id& id, config_version version, const std::string& where)
    {
        auto [at, is_new] = versions.try_emplace(id, version);
        if (!is_new && at->second != version && reported_ids.insert(id).second)
        {
            out.push_back({violation_kind::patch_twice,
                           id.str(),
                           "created version " + text_of(at->second) + " and " +
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
    std::map<patch_id, const config_document_record*> first_listing;
    for (const config_document_record& document : history.documents)
    {
        for (const listed_patch& it : document.patches)
        {
            first_listing.try_emplace(it.id, &document);
        }
    }
    for (const patch_record& it : history.patches)
    {
        auto at = first_listing.find(it.id);
        if (it.ended == stale && at != first_listing.end())
        {
            out.push_back({violation_kind::patch_after_denial,
                           it.id.str(),
                           "answered stale at " + std::to_string(it.end) +
                               " us; listed in the " + describe_document(*at->second)});
        }
    }
}

} // namespace

std::vector<violation> find_config_violations(const config_history& history)
{
    std::vector<violation> out;
    accepted_patches patches = first_acceptances(history);
    find_version_regressions(history, out);
    find_old_versions(history, patches, out);
    find_two_on_one_base(patches, out);
    find_lost_patches(history, patches, out);
    find_patches_applied_twice(history, out);
    find_patches_after_denial(history, out);
    return out;
}

std::size_t count_accepted(const config_history& history)
{
    return first_acceptances(history).size();
}

} // namespace camphorrock
