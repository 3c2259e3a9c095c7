#include "core/once/journal_view.hpp"

#include "core/once/subtract_range.hpp"

#include <algorithm>

namespace camphorrock
{

void journal_view::apply(const stored_batch& stored)
{
    journal& to = journals_[stored.router];
    to.next_number = stored.number + 1;
    for (const journal_entry& it : stored.batch.entries)
    {
        apply(to, it);
    }
}

void journal_view::apply(journal& to, const journal_entry& entry)
{
    if (const auto* it = std::get_if<claimed_entry>(&entry))
    {
        subtract_range(to.claims,
                       it->range,
                       [&](const journal_claim& row) { return row.since <= it->since; });
        to.claims.push_back({it->range, it->since});
    }
    if (const auto* it = std::get_if<released_entry>(&entry))
    {
        subtract_range(to.claims,
                       it->range,
                       [&](const journal_claim& row) { return row.since <= it->since; });
    }
    if (const auto* it = std::get_if<fenced_entry>(&entry))
    {
        subtract_range(to.claims,
                       it->range,
                       [&](const journal_claim& row) { return row.since < it->since; });
    }
}

std::uint64_t journal_view::next_number(const instance_id& router) const
{
    auto it = journals_.find(router);
    return it == journals_.end() ? 0 : it->second.next_number;
}

bool journal_view::is_superseded(const instance_id& self,
                                 const hash_range& range,
                                 epoch since) const
{
    auto is_newer = [&](const journal_claim& row)
    {
        return row.range.overlaps(range) && since < row.since;
    };
    return std::any_of(journals_.begin(),
                       journals_.end(),
                       [&](const auto& it)
                       {
                           const auto& claims = it.second.claims;
                           return it.first != self &&
                                  std::any_of(claims.begin(), claims.end(), is_newer);
                       });
}

std::vector<instance_id> journal_view::older_claimants(const instance_id& self,
                                                       const hash_range& range,
                                                       epoch since) const
{
    auto is_older = [&](const journal_claim& row)
    {
        return row.range.overlaps(range) && row.since < since;
    };
    std::vector<instance_id> found;
    for (const auto& [router, journal] : journals_)
    {
        const auto& claims = journal.claims;
        if (router != self && std::any_of(claims.begin(), claims.end(), is_older))
        {
            found.push_back(router);
        }
    }
    return found;
}

} // namespace camphorrock
