// The planning part of key_assigner: which key ranges move to which servers.

#include "core/gateway/owners/key_assigner.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration unresponsive_after = seconds(2); // without an accepted order
constexpr duration min_move_interval = seconds(1);  // between two moves of a range
// Load that is spread evenly over all keys, beside the samples, as a fraction of them.
constexpr double even_load_fraction = 0.1;
// Capacity of a server, over that of the owner, above which a hot key is moved to it.
constexpr double min_capacity_ratio = 1.25;
// The largest piece of an orphan that moves whole, as a fraction of a server's mean load.
constexpr double orphan_piece_fraction = 0.5;
// In requests; an orphan with no more load is not split.
constexpr double min_orphan_load = 8;

} // namespace

// In requests within the samples. A range without samples has a small load by its width.
double key_assigner::load_of(const keyed_service& row, const range_state& it) const
{
    const auto requests = static_cast<double>(row.load.keys_in(it.range.keys).size());
    const double width = it.range.keys.width() / (last_shard_key + 1.0);
    return requests +
           width * (1.0 + even_load_fraction * static_cast<double>(row.load.size()));
}

// The usable servers of the service, without those that are unresponsive and have
// accepted no order within unresponsive_after.
std::vector<key_assigner::server_load> key_assigner::server_loads(
    const keyed_service& row, const assigner_view& view, time_point now) const
{
    std::vector<server_load> loads;
    for (const known_server* it : view.servers->servers_of(row.name))
    {
        if (it->is_usable())
        {
            server_load& made = loads.emplace_back();
            made.server = it;
            made.capacity = std::max(view.capacity(row.name, it->entry), 1e-9);
            const std::optional<double> limit = limit_of(it->entry, view);
            if (limit)
            {
                const double for_requests =
                    *limit * (1 - options_.limited_order_fraction);
                made.capacity = std::min(made.capacity, for_requests);
                made.is_limited = affordable_ranges(*limit) < options_.ranges_per_server;
            }
        }
    }
    for (const range_state& it : row.key_ranges)
    {
        const server_id& holder = it.target ? *it.target : it.range.owner;
        for (server_load& load : loads)
        {
            if (load.server->entry.id == holder)
            {
                load.load += load_of(row, it);
                ++load.range_count;
            }
            if (load.server->entry.id == it.range.owner &&
                load.server->entry.incarnation == it.range.incarnation)
            {
                load.is_unresponsive = load.is_unresponsive || it.is_unresponsive;
                load.accepted_recently = load.accepted_recently ||
                                         now - it.last_accepted_at < unresponsive_after;
            }
        }
    }
    std::erase_if(loads,
                  [](const server_load& it)
                  { return it.is_unresponsive && !it.accepted_recently; });
    return loads;
}

void key_assigner::plan(keyed_service& row, const assigner_view& view, time_point now)
{
    if (now < row.next_plan_at)
    {
        return;
    }
    row.load.expire(now);
    std::vector<server_load> loads = server_loads(row, view, now);
    row.has_responsive_server =
        std::any_of(loads.begin(),
                    loads.end(),
                    [](const server_load& it) { return !it.is_unresponsive; });
    if (loads.empty())
    {
        return;
    }
    if (row.key_ranges.empty())
    {
        row.first_server_at = row.first_server_at.value_or(now);
        if (now - *row.first_server_at >= options_.initial_wait)
        {
            plan_initial(row, loads);
        }
        return;
    }
    const bool is_balancing = now >= row.next_balance_at;
    row.next_plan_at = now + options_.plan_period;
    split_orphans(row, view, loads, now);
    for (range_state& it : row.key_ranges)
    {
        plan_owner(row, it, view, loads, now);
    }
    plan_evacuation(row, view, loads, now);
    if (is_balancing)
    {
        row.next_balance_at = now + options_.balance_period;
        relieve_limited(row, loads, now);
        balance(row, loads, now);
    }
}

void key_assigner::plan_initial(keyed_service& row, std::vector<server_load>& loads)
{
    double capacity = 0;
    for (const server_load& it : loads)
    {
        capacity += it.capacity;
    }
    double assigned_capacity = 0;
    unsigned first = 0;
    for (const server_load& it : loads)
    {
        assigned_capacity += it.capacity;
        const double end = assigned_capacity / capacity * (last_shard_key + 1.0);
        const bool is_last = &it == &loads.back();
        const unsigned next = is_last ? last_shard_key + 1 : static_cast<unsigned>(end);
        if (next <= first)
        {
            continue;
        }
        range_state made;
        made.range.keys = {first, next - 1};
        made.target = it.server->entry.id;
        made.target_incarnation = it.server->entry.incarnation;
        row.key_ranges.push_back(std::move(made));
        first = next;
    }
    count_change();
}

// False while a grant of an earlier assigner that got no answer may be carried out after
// a release; the owner then keeps the keys. True a plan before, as the owner's work on
// the keys has to end, too.
bool key_assigner::is_freed_by_release(const range_state& it, time_point now) const
{
    return now + options_.plan_period >= it.predecessor_unanswered_end;
}

// True if the owner has ended, or is leaving and a release frees its keys, or does not
// answer and can hold no grant.
bool key_assigner::is_orphan(const range_state& it,
                             const assigner_view& view,
                             time_point now) const
{
    const known_server* owner = view.servers->find(it.range.owner);
    const bool is_other_incarnation =
        owner != nullptr && owner->entry.incarnation != it.range.incarnation;
    if (owner == nullptr || is_other_incarnation)
    {
        return true;
    }
    const bool is_left = owner->is_leaving(now) && is_freed_by_release(it, now);
    return is_left || (it.is_unresponsive && now >= it.grants_end());
}

// Splits the ranges of a server that leaves or is drained, so that its keys go to several
// other servers.
void key_assigner::split_orphans(keyed_service& row,
                                 const assigner_view& view,
                                 const std::vector<server_load>& loads,
                                 time_point now)
{
    double total = 0;
    for (const server_load& it : loads)
    {
        total += it.load;
    }
    const double piece =
        std::max(min_orphan_load,
                 orphan_piece_fraction * total / static_cast<double>(loads.size()));
    for (std::size_t n = 0; n < row.key_ranges.size(); ++n)
    {
        range_state& it = row.key_ranges[n];
        const bool is_splittable = !it.target && !it.order && it.range.keys.width() > 1 &&
                                   row.key_ranges.size() < options_.max_ranges;
        const bool goes_away = is_orphan(it, view, now) || is_evacuable(it, view, now);
        if (!is_splittable || !goes_away || load_of(row, it) <= piece)
        {
            continue;
        }
        const std::vector<unsigned> keys = row.load.keys_in(it.range.keys);
        const shard_key_range all = it.range.keys;
        unsigned middle = all.first + (all.last - all.first) / 2;
        if (keys.size() > 1)
        {
            middle = std::clamp(keys[keys.size() / 2], all.first + 1, all.last) - 1;
        }
        split(row, n, {all.first, middle});
        --n; // the first half may still be too large
    }
}

void key_assigner::plan_owner(keyed_service& row,
                              range_state& it,
                              const assigner_view& view,
                              std::vector<server_load>& loads,
                              time_point now)
{
    if (it.target)
    {
        check_target(row, it, view, loads, now);
        return;
    }
    if (!is_orphan(it, view, now))
    {
        return;
    }
    const known_server* owner = view.servers->find(it.range.owner);
    const bool has_new_incarnation = owner != nullptr && owner->is_usable() &&
                                     owner->entry.incarnation != it.range.incarnation;
    if (has_new_incarnation)
    {
        // The new incarnation holds no keys of the earlier one. A grant that was sent to
        // the earlier incarnation may still reach it, so the recorded grant ends stay.
        it.handover.clear();
        start_move(it, *owner, now);
        return;
    }
    server_load* to = successor_of(it, loads);
    if (to == nullptr)
    {
        return;
    }
    to->load += load_of(row, it);
    start_move(it, *to->server, now);
}

// The least loaded of the other servers; those that respond are preferred, then those
// without a limit.
key_assigner::server_load* key_assigner::successor_of(const range_state& it,
                                                      std::vector<server_load>& loads)
{
    const auto rank = [](const server_load& of)
    {
        return std::tuple(of.is_unresponsive, of.is_limited, of.ratio());
    };
    server_load* best = nullptr;
    for (server_load& load : loads)
    {
        if (load.server->entry.id == it.range.owner)
        {
            continue;
        }
        best = best == nullptr || rank(load) < rank(*best) ? &load : best;
    }
    return best;
}

// Replaces a target that is no longer usable: by the present owner if it is usable, else
// by any usable server, or the least loaded one if it is a drain that the range leaves.
// If there is none, the next plan tries again.
void key_assigner::check_target(keyed_service& row,
                                range_state& it,
                                const assigner_view& view,
                                std::vector<server_load>& loads,
                                time_point now)
{
    const known_server* target = view.servers->find(*it.target);
    const bool is_target_usable =
        is_same_incarnation(target, it.target_incarnation) && !target->is_leaving(now);
    if (is_target_usable && !target->is_evacuated())
    {
        return;
    }
    const known_server* owner = view.servers->find(it.range.owner);
    const bool is_owner_alive =
        is_same_incarnation(owner, it.range.incarnation) && !owner->is_leaving(now);
    const bool concerns_drain =
        is_target_usable || (is_owner_alive && owner->is_evacuated());
    server_load* successor = concerns_drain ? successor_of(it, loads) : nullptr;
    const bool is_owner_kept =
        is_owner_alive &&
        (!owner->is_evacuated() || (!is_target_usable && successor == nullptr));
    if (is_owner_kept)
    {
        // Move back to the owner, with an epoch above that of the release. The owner may
        // not have answered that, so is_released stays: the record may fail, and the
        // target be replaced again.
        it.target = it.range.owner;
        it.target_incarnation = it.range.incarnation;
        return;
    }
    if (successor != nullptr)
    {
        successor->load += load_of(row, it);
        it.target = successor->server->entry.id;
        it.target_incarnation = successor->server->entry.incarnation;
    }
    if (concerns_drain)
    {
        return; // without a successor, the target is better than none
    }
    for (const known_server* other : view.servers->servers_of(row.name))
    {
        if (other->is_usable())
        {
            it.target = other->entry.id;
            it.target_incarnation = other->entry.incarnation;
            return;
        }
    }
}

// Makes `target` the next owner. The present owner gets an order to release the range.
void key_assigner::start_move(range_state& it, const known_server& target, time_point now)
{
    it.target = target.entry.id;
    it.target_incarnation = target.entry.incarnation;
    it.release_epoch = allocate_epoch();
    it.is_evacuating = false;
    it.is_release_sent = false;
    it.is_released = false;
    it.next_order_at = now;
    count_change();
}

// Splits `keys` out of the range at `index`, into up to three ranges. Returns the range
// of `keys`.
key_assigner::range_state*
key_assigner::split(keyed_service& row, std::size_t index, shard_key_range keys)
{
    const range_state whole = row.key_ranges[index];
    const shard_key_range all = whole.range.keys;
    std::vector<range_state> parts;
    auto add = [&](unsigned first, unsigned last)
    {
        parts.push_back(whole);
        parts.back().range.keys = {first, last};
    };
    if (all.first < keys.first)
    {
        add(all.first, keys.first - 1);
    }
    const std::size_t middle = parts.size();
    add(keys.first, keys.last);
    if (keys.last < all.last)
    {
        add(keys.last + 1, all.last);
    }
    const auto at = row.key_ranges.begin() + static_cast<std::ptrdiff_t>(index);
    const auto next = row.key_ranges.erase(at);
    row.key_ranges.insert(next, parts.begin(), parts.end());
    return &row.key_ranges[index + middle];
}

void key_assigner::balance(keyed_service& row,
                           std::vector<server_load>& loads,
                           time_point now)
{
    double load = 0;
    double capacity = 0;
    for (const server_load& it : loads)
    {
        load += it.load;
        capacity += it.capacity;
    }
    const double mean = load / capacity;
    for (unsigned n = 0; n < options_.max_moves; ++n)
    {
        if (!balance_once(row, loads, mean, now))
        {
            return;
        }
    }
}

bool key_assigner::balance_once(keyed_service& row,
                                std::vector<server_load>& loads,
                                double mean,
                                time_point now)
{
    const auto most = std::max_element(loads.begin(),
                                       loads.end(),
                                       [](const server_load& a, const server_load& b)
                                       { return a.ratio() < b.ratio(); });
    const auto least = std::min_element(loads.begin(),
                                        loads.end(),
                                        [](const server_load& a, const server_load& b) {
                                            return std::pair(a.is_limited, a.ratio()) <
                                                   std::pair(b.is_limited, b.ratio());
                                        });
    // relieve_limited() moves these ranges one after the other, which costs fewer orders.
    const bool is_relieved_already = most->is_limited && most->range_count > 1;
    if (is_relieved_already)
    {
        return false;
    }
    const bool is_refilled = least->server->evacuation_ended_at && !may_split(row, loads);
    if (is_refilled && least->range_count == 0)
    {
        return refill(row, loads, *least, mean * least->capacity, now);
    }
    if (least->range_count == 0 && may_split(row, loads))
    {
        const double half = std::max(1.0, (most->load - least->load) / 2);
        range_state* piece = split_off_load(row, most->server->entry.id, half, now);
        return piece != nullptr && move_between(row, *piece, *most, *least, now);
    }
    const double excess = most->load - mean * most->capacity;
    const double sampled_seconds =
        std::chrono::duration<double>(row.load.sampled_duration(now)).count();
    const bool is_uneven = most->ratio() / sampled_seconds > options_.min_utilization &&
                           excess > options_.significance * std::sqrt(most->load) &&
                           most->ratio() > options_.imbalance * mean;
    if (is_uneven && is_refilled)
    {
        const double wanted = std::min(excess, mean * least->capacity - least->load);
        return refill(row, loads, *least, wanted, now);
    }
    if (!is_uneven || !may_split(row, loads))
    {
        return false;
    }
    if (range_state* hot = isolate_hottest_key(row, *most, mean, now))
    {
        return offload_hot_server(row, *hot, loads, *most, *least, now);
    }
    const double spare = mean * least->capacity - least->load;
    range_state* piece = split_off_load(
        row, most->server->entry.id, std::max(1.0, std::min(excess, spare)), now);
    if (piece == nullptr)
    {
        return false;
    }
    const double moved = load_of(row, *piece);
    const bool is_better = (least->load + moved) / least->capacity < most->ratio();
    return is_better && move_between(row, *piece, *most, *least, now);
}

bool key_assigner::may_split(const keyed_service& row,
                             const std::vector<server_load>& loads) const
{
    const std::size_t max_ranges =
        std::min(options_.max_ranges, options_.ranges_per_server * loads.size());
    return row.key_ranges.size() < max_ranges;
}

bool key_assigner::move_between(keyed_service& row,
                                range_state& it,
                                server_load& from,
                                server_load& to,
                                time_point now)
{
    const double moved = load_of(row, it);
    start_move(it, *to.server, now);
    to.load += moved;
    ++to.range_count;
    from.load -= moved;
    return true;
}

// A key that alone gets more than the server's fair part of all requests. Such a key
// can't be divided, so it is split out of its range. Null if there is no such key that
// may move.
key_assigner::range_state* key_assigner::isolate_hottest_key(keyed_service& row,
                                                             const server_load& of,
                                                             double mean,
                                                             time_point now)
{
    for (std::size_t n = 0; n < row.key_ranges.size(); ++n)
    {
        const range_state& it = row.key_ranges[n];
        if (!is_movable(it, of.server->entry.id, now))
        {
            continue;
        }
        const std::vector<unsigned> keys = row.load.keys_in(it.range.keys);
        const auto wanted = static_cast<std::size_t>(mean * of.capacity);
        const std::optional<shard_key_range> range = narrowest_range(keys, wanted);
        if (range && range->width() == 1 && keys.size() > wanted)
        {
            return it.range.keys == *range ? &row.key_ranges[n] : split(row, n, *range);
        }
    }
    return nullptr;
}

// Moves a hot key to the fastest server if its capacity is above min_capacity_ratio times
// that of the owner. Else moves another range of the owner away.
bool key_assigner::offload_hot_server(keyed_service& row,
                                      range_state& hot,
                                      std::vector<server_load>& loads,
                                      server_load& most,
                                      server_load& least,
                                      time_point now)
{
    const shard_key_range hot_keys = hot.range.keys;
    const auto fastest = std::max_element(loads.begin(),
                                          loads.end(),
                                          [](const server_load& a, const server_load& b)
                                          { return a.capacity < b.capacity; });
    if (fastest->capacity > min_capacity_ratio * most.capacity)
    {
        return move_between(row, hot, most, *fastest, now);
    }
    for (range_state& it : row.key_ranges)
    {
        const bool is_other = is_movable(it, most.server->entry.id, now) &&
                              it.range.keys != hot_keys && load_of(row, it) >= 1;
        if (is_other)
        {
            return move_between(row, it, most, least, now);
        }
    }
    return false;
}

bool key_assigner::is_movable(const range_state& it,
                              const server_id& owner,
                              time_point now) const
{
    return it.range.owner == owner && is_settled(it) && is_freed_by_release(it, now) &&
           now - it.moved_at >= min_move_interval;
}

// Splits off the narrowest piece, of the server's range with the most requests, that gets
// about `wanted` requests. Null if no range of the server may move.
key_assigner::range_state* key_assigner::split_off_load(keyed_service& row,
                                                        const server_id& server,
                                                        double wanted,
                                                        time_point now)
{
    std::optional<std::size_t> best;
    std::vector<unsigned> best_keys;
    for (std::size_t n = 0; n < row.key_ranges.size(); ++n)
    {
        const range_state& it = row.key_ranges[n];
        if (!is_movable(it, server, now))
        {
            continue;
        }
        std::vector<unsigned> keys = row.load.keys_in(it.range.keys);
        if (!best || keys.size() > best_keys.size())
        {
            best = n;
            best_keys = std::move(keys);
        }
    }
    if (!best)
    {
        return nullptr;
    }
    const shard_key_range all = row.key_ranges[*best].range.keys;
    const std::optional<shard_key_range> narrowest =
        narrowest_range(best_keys, static_cast<std::size_t>(wanted));
    if (narrowest)
    {
        return split(row, *best, *narrowest);
    }
    return split(row, *best, {all.first, all.first + (all.width() - 1) / 2});
}

} // namespace camphorrock
