// The plan of key_assigner: which shares go to which servers.

#include "core/gateway/key_assigner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration silent_after = seconds(2); // without an accepted order
constexpr duration move_pause = seconds(1);   // before a share moves again
constexpr double width_load = 0.1; // load of all keys by their number, beside the samples
constexpr double faster = 1.25; // capacity of a server to which a hot key is worth moving
constexpr double orphan_part = 0.5; // of a server's mean load: the largest piece to move
constexpr double min_piece = 8;     // requests: no smaller piece is cut for its load

} // namespace

double key_assigner::load_of(const keyed_service& row, const held_share& share) const
{
    const auto requests = static_cast<double>(row.load.keys_in(share.share.keys).size());
    const double width = share.share.keys.width() / (last_shard_key + 1.0);
    return requests + width * (1.0 + width_load * static_cast<double>(row.load.size()));
}

std::vector<key_assigner::server_load> key_assigner::loads_of(const keyed_service& row,
                                                              const assigner_view& view,
                                                              time_point now) const
{
    std::vector<server_load> loads;
    for (const known_server* it : view.servers->servers_of(row.name))
    {
        if (it->is_usable())
        {
            server_load& made = loads.emplace_back();
            made.server = it;
            made.capacity = std::max(view.capacity(row.name, it->entry), 1e-9);
        }
    }
    for (const held_share& it : row.shares)
    {
        const server_id& holder = it.target ? *it.target : it.share.owner;
        for (server_load& load : loads)
        {
            if (load.server->entry.id == holder)
            {
                load.load += load_of(row, it);
                ++load.shares;
            }
            if (load.server->entry.id == it.share.owner &&
                load.server->entry.life == it.share.life)
            {
                load.is_silent = load.is_silent || it.is_silent;
                load.is_answering =
                    load.is_answering || now - it.last_accepted < silent_after;
            }
        }
    }
    std::erase_if(loads,
                  [](const server_load& it) { return it.is_silent && !it.is_answering; });
    return loads;
}

void key_assigner::plan(keyed_service& row, const assigner_view& view, time_point now)
{
    if (now < row.plan_at)
    {
        return;
    }
    row.load.expire(now);
    std::vector<server_load> loads = loads_of(row, view, now);
    if (loads.empty())
    {
        return;
    }
    if (row.shares.empty())
    {
        row.first_server = row.first_server.value_or(now);
        if (now - *row.first_server >= options_.first_wait)
        {
            plan_initial(row, loads);
        }
        return;
    }
    const bool is_balancing = now >= row.balance_at;
    row.plan_at = now + options_.plan_every;
    cut_orphans(row, view, loads, now);
    for (held_share& it : row.shares)
    {
        plan_owner(row, it, view, loads, now);
    }
    if (is_balancing)
    {
        row.balance_at = now + options_.balance_every;
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
    double given = 0;
    unsigned first = 0;
    for (const server_load& it : loads)
    {
        given += it.capacity;
        const double end = given / capacity * (last_shard_key + 1.0);
        const bool is_last = &it == &loads.back();
        const unsigned next = is_last ? last_shard_key + 1 : static_cast<unsigned>(end);
        if (next <= first)
        {
            continue;
        }
        held_share made;
        made.share.keys = {first, next - 1};
        made.target = it.server->entry.id;
        made.target_life = it.server->entry.life;
        row.shares.push_back(std::move(made));
        first = next;
    }
    changed();
}

bool key_assigner::is_orphan(const held_share& it,
                             const assigner_view& view,
                             time_point now) const
{
    const known_server* owner = view.servers->find(it.share.owner);
    const bool is_another_life = owner != nullptr && owner->entry.life != it.share.life;
    if (owner == nullptr || is_another_life || owner->is_leaving(now))
    {
        return true;
    }
    return it.is_silent && now >= it.held_until;
}

// The keys of a server that leaves go to several others.
void key_assigner::cut_orphans(keyed_service& row,
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
        std::max(min_piece, orphan_part * total / static_cast<double>(loads.size()));
    for (std::size_t n = 0; n < row.shares.size(); ++n)
    {
        held_share& it = row.shares[n];
        const bool may_cut = !it.target && !it.order && it.share.keys.width() > 1 &&
                             row.shares.size() < options_.max_shares;
        if (!may_cut || !is_orphan(it, view, now) || load_of(row, it) <= piece)
        {
            continue;
        }
        const std::vector<unsigned> keys = row.load.keys_in(it.share.keys);
        const shard_key_range all = it.share.keys;
        unsigned middle = all.first + (all.last - all.first) / 2;
        if (keys.size() > 1)
        {
            middle = std::clamp(keys[keys.size() / 2], all.first + 1, all.last) - 1;
        }
        cut(row, n, {all.first, middle});
        --n; // the first half may still be too large
    }
}

void key_assigner::plan_owner(keyed_service& row,
                              held_share& it,
                              const assigner_view& view,
                              std::vector<server_load>& loads,
                              time_point now)
{
    if (it.target)
    {
        check_target(row, it, view, now);
        return;
    }
    if (!is_orphan(it, view, now))
    {
        return;
    }
    const known_server* owner = view.servers->find(it.share.owner);
    const bool has_new_life =
        owner != nullptr && owner->is_usable() && owner->entry.life != it.share.life;
    if (has_new_life)
    {
        // It holds nothing of its earlier life, but a grant that was sent to that one may
        // still reach it, so what is known of those stays.
        it.handover.clear();
        move(it, *owner, now);
        return;
    }
    server_load* to = successor_of(it, loads);
    if (to == nullptr)
    {
        return;
    }
    to->load += load_of(row, it);
    move(it, *to->server, now);
}

// The least loaded of the other servers, of those that answer where there are some.
key_assigner::server_load* key_assigner::successor_of(const held_share& it,
                                                      std::vector<server_load>& loads)
{
    server_load* best = nullptr;
    for (server_load& load : loads)
    {
        if (load.server->entry.id == it.share.owner)
        {
            continue;
        }
        const bool is_better =
            best == nullptr || (best->is_silent && !load.is_silent) ||
            (best->is_silent == load.is_silent && load.ratio() < best->ratio());
        best = is_better ? &load : best;
    }
    return best;
}

// A target that has gone meanwhile is chosen anew, by the next plan.
void key_assigner::check_target(keyed_service& row,
                                held_share& it,
                                const assigner_view& view,
                                time_point now)
{
    const known_server* target = view.servers->find(*it.target);
    const bool is_sound =
        is_same_life(target, it.target_life) && !target->is_leaving(now);
    if (is_sound)
    {
        return;
    }
    const known_server* owner = view.servers->find(it.share.owner);
    if (is_same_life(owner, it.share.life) && !owner->is_leaving(now))
    {
        // Back to the owner, with a higher epoch than the release.
        it.target = it.share.owner;
        it.target_life = it.share.life;
        it.is_released = true;
        return;
    }
    for (const known_server* other : view.servers->servers_of(row.name))
    {
        if (other->is_usable())
        {
            it.target = other->entry.id;
            it.target_life = other->entry.life;
            return;
        }
    }
}

void key_assigner::move(held_share& it, const known_server& target, time_point now)
{
    it.target = target.entry.id;
    it.target_life = target.entry.life;
    it.release_at = take_epoch();
    it.is_released = false;
    it.renew_at = now;
    changed();
}

key_assigner::held_share*
key_assigner::cut(keyed_service& row, std::size_t index, shard_key_range keys)
{
    const held_share whole = row.shares[index];
    const shard_key_range all = whole.share.keys;
    std::vector<held_share> parts;
    auto add = [&](unsigned first, unsigned last)
    {
        parts.push_back(whole);
        parts.back().share.keys = {first, last};
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
    const auto at = row.shares.begin() + static_cast<std::ptrdiff_t>(index);
    const auto next = row.shares.erase(at);
    row.shares.insert(next, parts.begin(), parts.end());
    return &row.shares[index + middle];
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
    const auto [least, most] = std::minmax_element(
        loads.begin(),
        loads.end(),
        [](const server_load& a, const server_load& b) { return a.ratio() < b.ratio(); });
    if (least->shares == 0 && may_cut(row, loads))
    {
        const double half = std::max(1.0, (most->load - least->load) / 2);
        held_share* piece = cut_piece(row, most->server->entry.id, half, now);
        return piece != nullptr && give(row, *piece, *most, *least, now);
    }
    const double excess = most->load - mean * most->capacity;
    const double span = std::chrono::duration<double>(row.load.covered(now)).count();
    const bool is_uneven = most->ratio() / span > options_.min_busy &&
                           excess > options_.significance * std::sqrt(most->load) &&
                           most->ratio() > options_.imbalance * mean;
    if (!is_uneven || !may_cut(row, loads))
    {
        return false;
    }
    if (held_share* hot = hottest_key(row, *most, mean, now))
    {
        return relieve(row, *hot, loads, *most, *least, now);
    }
    const double room = mean * least->capacity - least->load;
    held_share* piece = cut_piece(
        row, most->server->entry.id, std::max(1.0, std::min(excess, room)), now);
    if (piece == nullptr)
    {
        return false;
    }
    const double moved = load_of(row, *piece);
    const bool is_better = (least->load + moved) / least->capacity < most->ratio();
    return is_better && give(row, *piece, *most, *least, now);
}

bool key_assigner::may_cut(const keyed_service& row,
                           const std::vector<server_load>& loads) const
{
    const std::size_t most_shares =
        std::min(options_.max_shares, options_.shares_per_server * loads.size());
    return row.shares.size() < most_shares;
}

bool key_assigner::give(keyed_service& row,
                        held_share& it,
                        server_load& from,
                        server_load& to,
                        time_point now)
{
    const double moved = load_of(row, it);
    move(it, *to.server, now);
    to.load += moved;
    ++to.shares;
    from.load -= moved;
    return true;
}

// One key that alone brings more than the server's share of all requests, cut out of its
// share; it can not be divided. Null where there is none that may move.
key_assigner::held_share* key_assigner::hottest_key(keyed_service& row,
                                                    const server_load& of,
                                                    double mean,
                                                    time_point now)
{
    for (std::size_t n = 0; n < row.shares.size(); ++n)
    {
        const held_share& it = row.shares[n];
        if (!is_movable(it, of.server->entry.id, now))
        {
            continue;
        }
        const std::vector<unsigned> keys = row.load.keys_in(it.share.keys);
        const auto wanted = static_cast<std::size_t>(mean * of.capacity);
        const std::optional<shard_key_range> range = narrowest_range(keys, wanted);
        if (range && range->width() == 1 && keys.size() > wanted)
        {
            return it.share.keys == *range ? &row.shares[n] : cut(row, n, *range);
        }
    }
    return nullptr;
}

// The server of a hot key gives its other keys away, then the key goes to a faster
// server.
bool key_assigner::relieve(keyed_service& row,
                           held_share& hot,
                           std::vector<server_load>& loads,
                           server_load& most,
                           server_load& least,
                           time_point now)
{
    const shard_key_range hot_keys = hot.share.keys;
    const auto fastest = std::max_element(loads.begin(),
                                          loads.end(),
                                          [](const server_load& a, const server_load& b)
                                          { return a.capacity < b.capacity; });
    if (fastest->capacity > faster * most.capacity)
    {
        return give(row, hot, most, *fastest, now);
    }
    for (held_share& it : row.shares)
    {
        const bool is_other = is_movable(it, most.server->entry.id, now) &&
                              it.share.keys != hot_keys && load_of(row, it) >= 1;
        if (is_other)
        {
            return give(row, it, most, least, now);
        }
    }
    return false;
}

bool key_assigner::is_movable(const held_share& it,
                              const server_id& owner,
                              time_point now) const
{
    return it.share.owner == owner && is_settled(it) && now - it.moved_at >= move_pause;
}

// The narrowest piece of the server's keys that carries about `wanted` requests.
key_assigner::held_share* key_assigner::cut_piece(keyed_service& row,
                                                  const server_id& server,
                                                  double wanted,
                                                  time_point now)
{
    std::optional<std::size_t> best;
    std::vector<unsigned> best_keys;
    for (std::size_t n = 0; n < row.shares.size(); ++n)
    {
        const held_share& it = row.shares[n];
        if (!is_movable(it, server, now))
        {
            continue;
        }
        std::vector<unsigned> keys = row.load.keys_in(it.share.keys);
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
    const shard_key_range all = row.shares[*best].share.keys;
    const std::optional<shard_key_range> narrowest =
        narrowest_range(best_keys, static_cast<std::size_t>(wanted));
    if (narrowest)
    {
        return cut(row, *best, *narrowest);
    }
    return cut(row, *best, {all.first, all.first + (all.width() - 1) / 2});
}

} // namespace camphorrock
