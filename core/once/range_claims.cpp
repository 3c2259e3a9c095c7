#include "core/once/range_claims.hpp"

#include "core/once/subtract_range.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

bool matches_any(const claim_row&)
{
    return true;
}

} // namespace

void range_claims::start_claim(const hash_range& range, epoch since)
{
    remove(range);
    rows_.push_back({range, since, claim_state::claiming, false});
    sort();
}

void range_claims::remove(const hash_range& range)
{
    subtract_range(rows_, range, matches_any);
}

void range_claims::remove_fenced(const fenced_entry& fence)
{
    subtract_range(rows_,
                   fence.range,
                   [&](const claim_row& row) { return row.since < fence.since; });
}

void range_claims::restart()
{
    for (claim_row& it : rows_)
    {
        bool is_releasing = it.state == claim_state::releasing;
        it.state = is_releasing ? claim_state::releasing : claim_state::claiming;
        it.is_release_queued = false;
    }
}

std::vector<claim_row> range_claims::release(const hash_range& range)
{
    std::vector<claim_row> old_rows = rows_;
    std::vector<claim_row> unready;
    remove(range);
    for (claim_row& it : old_rows)
    {
        if (!it.range.overlaps(range))
        {
            continue;
        }
        it.range.first = std::max(it.range.first, range.first);
        it.range.last = std::min(it.range.last, range.last);
        bool is_held =
            it.state == claim_state::ready || it.state == claim_state::releasing;
        if (is_held)
        {
            it.state = claim_state::releasing;
        }
        (is_held ? rows_ : unready).push_back(it);
    }
    sort();
    return unready;
}

void range_claims::on_claim_written(const claimed_entry& claim)
{
    for (claim_row& it : rows_)
    {
        bool is_covered = claim.range.covers(it.range) && it.since == claim.since;
        if (is_covered && it.state == claim_state::claiming)
        {
            it.state = claim_state::claimed;
        }
    }
}

bool range_claims::needs_load() const
{
    return std::any_of(rows_.begin(),
                       rows_.end(),
                       [](const claim_row& it)
                       { return it.state == claim_state::claimed; });
}

void range_claims::on_load_started()
{
    replace_state(claim_state::claimed, claim_state::checking);
}

void range_claims::on_load_failed()
{
    replace_state(claim_state::checking, claim_state::claimed);
}

std::map<instance_id, std::vector<fenced_entry>>
range_claims::evaluate(const instance_id& self, const journal_view& view)
{
    std::map<instance_id, std::vector<fenced_entry>> fences;
    std::erase_if(rows_,
                  [&](const claim_row& it)
                  {
                      return it.state == claim_state::checking &&
                             view.is_superseded(self, it.range, it.since);
                  });
    for (claim_row& it : rows_)
    {
        if (it.state != claim_state::checking)
        {
            continue;
        }
        std::vector<instance_id> others = view.older_claimants(self, it.range, it.since);
        for (const instance_id& router : others)
        {
            fences[router].push_back({it.range, it.since});
        }
        if (others.empty())
        {
            it.state = claim_state::ready;
        }
    }
    return fences;
}

const claim_row* range_claims::find(key_hash at) const
{
    auto it = std::lower_bound(rows_.begin(),
                               rows_.end(),
                               at,
                               [](const claim_row& row, key_hash n)
                               { return row.range.last < n; });
    bool is_found = it != rows_.end() && it->range.contains(at);
    return is_found ? &*it : nullptr;
}

void range_claims::sort()
{
    std::sort(rows_.begin(),
              rows_.end(),
              [](const claim_row& one, const claim_row& other)
              { return one.range < other.range; });
}

void range_claims::replace_state(claim_state from, claim_state to)
{
    for (claim_row& it : rows_)
    {
        if (it.state == from)
        {
            it.state = to;
        }
    }
}

} // namespace camphorrock
