// The part of key_assigner for drained data centres: the moves away from them, and back
// to them after the drain.

#include "core/gateway/owners/key_assigner.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace camphorrock
{

// True if the range is to move because its owner's data centre is drained. Owners that
// leave or do not answer lose their ranges in the same way as without a drain.
bool key_assigner::is_evacuable(const range_state& it,
                                const assigner_view& view,
                                time_point now) const
{
    const known_server* owner = view.servers->find(it.range.owner);
    return !it.target && !it.is_unresponsive &&
           is_same_incarnation(owner, it.range.incarnation) && owner->is_evacuated() &&
           !owner->is_leaving(now) && is_freed_by_release(it, now);
}

// Starts the moves that are due in this pass, those of the ranges with the most requests
// first.
void key_assigner::plan_evacuation(keyed_service& row,
                                   const assigner_view& view,
                                   std::vector<server_load>& loads,
                                   time_point now)
{
    struct loaded_range
    {
        range_state* range = nullptr;
        double load = 0;
    };
    std::vector<loaded_range> waiting;
    std::optional<time_point> stop_at;
    for (range_state& it : row.key_ranges)
    {
        if (is_evacuable(it, view, now))
        {
            waiting.push_back({&it, load_of(row, it)});
            const time_point its_stop =
                *view.servers->find(it.range.owner)->evacuation_stop_at;
            stop_at = std::min(stop_at.value_or(its_stop), its_stop);
        }
    }
    if (waiting.empty())
    {
        return;
    }
    std::stable_sort(waiting.begin(),
                     waiting.end(),
                     [](const loaded_range& one, const loaded_range& other)
                     { return one.load > other.load; });
    const std::size_t batch =
        std::min(evacuation_batch(waiting.size(), *stop_at, now), waiting.size());
    std::vector<server_load> unused = loads; // without the new owners of this pass
    for (std::size_t n = 0; n < batch; ++n)
    {
        const auto [range, load] = waiting[n];
        server_load* to = successor_of(*range, unused);
        if (to == nullptr)
        {
            return;
        }
        const known_server* server = to->server;
        std::erase_if(unused, [&](const server_load& it) { return it.server == server; });
        for (server_load& it : loads)
        {
            it.load += it.server == server ? load : 0;
            it.range_count += it.server == server ? 1 : 0;
        }
        start_move(*range, *server, now);
        range->is_evacuating = true;
    }
}

// The number of ranges that move in this pass, so that the last of `ranges` starts by
// evacuation_reserve before the stop time.
std::size_t key_assigner::evacuation_batch(std::size_t ranges,
                                           time_point stop_at,
                                           time_point now) const
{
    const duration left = stop_at - options_.evacuation_reserve - now;
    const auto passes = static_cast<std::size_t>(
        std::max<duration::rep>(0, left / options_.plan_period) + 1);
    return (ranges + passes - 1) / passes;
}

// Where the drain has ended, an owner that has got no release keeps its range.
void key_assigner::drop_cancelled_moves(keyed_service& row,
                                        const assigner_view& view,
                                        time_point now)
{
    for (range_state& it : row.key_ranges)
    {
        const bool is_unsent = it.target && it.is_evacuating && !it.is_release_sent;
        if (!is_unsent || pending_record_)
        {
            continue;
        }
        const known_server* owner = view.servers->find(it.range.owner);
        const bool is_healthy = is_same_incarnation(owner, it.range.incarnation) &&
                                !owner->is_leaving(now) && !it.is_unresponsive;
        if (is_healthy && !owner->is_evacuated())
        {
            it.target.reset();
            it.release_epoch.reset();
            it.is_evacuating = false;
            count_change();
        }
    }
}

// Moves a whole range to a server whose drain has ended, since no range may be split: of
// the most loaded server, the largest range with at most `wanted` requests. Returns false
// if there is none.
bool key_assigner::refill(keyed_service& row,
                          std::vector<server_load>& loads,
                          server_load& to,
                          double wanted,
                          time_point now)
{
    std::vector<server_load*> by_load;
    for (server_load& it : loads)
    {
        if (it.range_count > 1 && it.server != to.server)
        {
            by_load.push_back(&it);
        }
    }
    std::stable_sort(by_load.begin(),
                     by_load.end(),
                     [](const server_load* one, const server_load* other)
                     { return one->ratio() > other->ratio(); });
    for (server_load* from : by_load)
    {
        range_state* best = nullptr;
        double best_load = 0;
        for (range_state& it : row.key_ranges)
        {
            if (!is_movable(it, from->server->entry.id, now))
            {
                continue;
            }
            const double load = load_of(row, it);
            const bool is_better = load <= wanted && load > best_load;
            best = is_better ? &it : best;
            best_load = is_better ? load : best_load;
        }
        if (best != nullptr)
        {
            return move_between(row, *best, *from, to, now);
        }
    }
    return false;
}

} // namespace camphorrock
