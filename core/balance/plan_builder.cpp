#include "core/balance/plan_builder.hpp"

#include <algorithm>
#include <limits>

namespace camphorrock
{
namespace
{

double width(const hash_range& range)
{
    return static_cast<double>(range.last.value - range.first.value) + 1;
}

// The part of a partition that a range within it holds; its keys and its load without
// the hottest key are taken to be spread evenly.
balanced_partition part_of(const balanced_partition& whole, const hash_range& range)
{
    balanced_partition part = whole;
    const double share = width(range) / width(whole.range);
    const bool has_hottest = whole.hottest && range.contains(whole.hottest->at);
    const double of_key = whole.hottest ? std::min(whole.hottest->load, whole.load) : 0;
    part.range = range;
    part.load = (whole.load - of_key) * share + (has_hottest ? of_key : 0);
    part.keys = std::max(range.first == range.last ? 1.0 : 0.0, whole.keys * share);
    part.hottest = has_hottest ? whole.hottest : std::nullopt;
    return part;
}

} // namespace

plan_builder::plan_builder(const balance_view& view,
                           const balancer_options& options,
                           move_history& history,
                           time_point now)
    : view_(view), options_(options), history_(history), now_(now),
      parts_(view.partitions), counted_keys_(history.keys())
{
    for (const balanced_server& it : view.servers)
    {
        servers_.push_back({0, it.capacity, it.takes_keys, {}});
    }
    double load = 0;
    double capacity = 0;
    for (std::size_t i = 0; i < parts_.size(); ++i)
    {
        server_state& owner = servers_[parts_[i].server];
        owner.load += parts_[i].load;
        owner.partitions.push_back(i);
        load += parts_[i].load;
        total_keys_ += parts_[i].keys;
    }
    for (const server_state& it : servers_)
    {
        capacity += it.takes_keys ? it.capacity : 0;
    }
    mean_ = capacity > 0 ? load / capacity : 0;
}

void plan_builder::evacuate()
{
    for (std::size_t from = 0; from < servers_.size(); ++from)
    {
        if (servers_[from].takes_keys || !most_loaded())
        {
            continue;
        }
        std::vector<std::size_t>& left = servers_[from].partitions;
        std::sort(left.begin(),
                  left.end(),
                  [&](std::size_t a, std::size_t b)
                  { return parts_[a].load < parts_[b].load; });
        while (!left.empty() && !is_full())
        {
            move(from, left.size() - 1, least_loaded(), false);
        }
    }
}

void plan_builder::even_out(std::optional<std::size_t> only)
{
    double slack = options_.start;
    while (mean_ > 0 && !is_full())
    {
        const std::optional<std::size_t> high = only ? only : most_loaded();
        if (!high || !servers_[*high].takes_keys)
        {
            return;
        }
        const std::size_t low = least_loaded();
        if (is_content(*high, low, slack))
        {
            return;
        }
        slack = options_.stop;
        if (split_hot_key(*high))
        {
            continue;
        }
        if (const std::optional<candidate> best = best_move(*high, low))
        {
            move(*high, best->position, low, true);
            continue;
        }
        if (!split_largest(*high))
        {
            return;
        }
    }
}

void plan_builder::merge_cold()
{
    const std::size_t least = options_.min_partitions * servers_.size();
    std::size_t count = parts_.size();
    std::size_t merges = 0;
    const std::size_t n = view_.partitions.size();
    for (std::size_t i = 1; i < n && merges < options_.max_merges && count > least; ++i)
    {
        if (is_full() || !may_merge(parts_[i - 1], parts_[i]))
        {
            continue;
        }
        plan_.steps.emplace_back(merge_step{parts_[i].range.first});
        --count;
        ++merges;
        ++i; // the merged partition is left alone for the rest of this plan
    }
}

rebalance_plan plan_builder::take()
{
    plan_.reason = plan_.steps.empty() ? "" : "load";
    return std::move(plan_);
}

bool plan_builder::is_full() const
{
    // A hot key takes two splits at once.
    return plan_.steps.size() + 2 > options_.max_steps;
}

double plan_builder::budget() const
{
    return options_.churn_share * total_keys_ - counted_keys_;
}

std::optional<std::size_t> plan_builder::most_loaded() const
{
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < servers_.size(); ++i)
    {
        const bool takes = servers_[i].takes_keys;
        if (takes && (!found || servers_[i].relative() > servers_[*found].relative()))
        {
            found = i;
        }
    }
    return found;
}

std::size_t plan_builder::least_loaded() const
{
    std::size_t found = 0;
    double lowest = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < servers_.size(); ++i)
    {
        if (servers_[i].takes_keys && servers_[i].relative() < lowest)
        {
            found = i;
            lowest = servers_[i].relative();
        }
    }
    return found;
}

bool plan_builder::is_content(std::size_t high, std::size_t low, double slack) const
{
    return servers_[high].relative() <= mean_ * (1 + slack) &&
           servers_[low].relative() >= mean_ * (1 - 2 * slack);
}

// What a step must gain. Where partitions are many and small, half of one is enough.
double plan_builder::least_gain(std::size_t from) const
{
    const server_state& server = servers_[from];
    const auto n =
        static_cast<double>(std::max<std::size_t>(1, server.partitions.size()));
    return std::min(options_.min_gain * mean_, server.relative() / n / 2);
}

// By how much the higher of the two loads falls, as far as it is above the mean.
double
plan_builder::gain(const balanced_partition& part, std::size_t from, std::size_t to) const
{
    const server_state& high = servers_[from];
    const server_state& low = servers_[to];
    const double high_after = (high.load - part.load) / high.capacity;
    const double low_after = (low.load + part.load) / low.capacity;
    return high.relative() - std::max({high_after, low_after, mean_});
}

std::optional<plan_builder::candidate> plan_builder::best_move(std::size_t from,
                                                               std::size_t to) const
{
    std::optional<candidate> best;
    const double least = least_gain(from);
    const std::vector<std::size_t>& owned = servers_[from].partitions;
    for (std::size_t i = 0; i < owned.size(); ++i)
    {
        const balanced_partition& part = parts_[owned[i]];
        const double gained = gain(part, from, to);
        const bool is_allowed =
            !part.is_moving && part.keys <= budget() && gained >= least;
        if (!is_allowed)
        {
            continue;
        }
        const double per_key = gained / std::max(1.0, part.keys);
        if ((!best || per_key > best->gain_per_key) && !history_.overlaps(part.range))
        {
            best = candidate{i, per_key};
        }
    }
    return best;
}

// Splits off a key that carries much of its partition. Splits cost nothing, and make the
// other keys of the partition cheap to move.
bool plan_builder::split_hot_key(std::size_t server)
{
    for (const std::size_t index : servers_[server].partitions)
    {
        const balanced_partition& part = parts_[index];
        const bool is_hot =
            part.hottest && part.range.first != part.range.last &&
            part.hottest->load >= options_.hot_share * part.load &&
            part.hottest->load >= options_.hot_load * mean_ * servers_[server].capacity;
        if (is_hot && !part.is_moving && parts_.size() + 2 <= options_.max_partitions)
        {
            split_off(index, *part.hottest);
            return true;
        }
    }
    return false;
}

// Halves the most loaded partition that is too large to move, so that a part of it fits.
bool plan_builder::split_largest(std::size_t server)
{
    const std::size_t low = least_loaded();
    const double least = least_gain(server);
    std::optional<std::size_t> largest;
    for (const std::size_t index : servers_[server].partitions)
    {
        const balanced_partition& part = parts_[index];
        const bool may_split = part.range.first != part.range.last && !part.is_moving &&
                               !history_.overlaps(part.range) &&
                               gain(part, server, low) < least &&
                               part.load >= 2 * least * servers_[server].capacity;
        if (may_split && (!largest || part.load > parts_[*largest].load))
        {
            largest = index;
        }
    }
    if (!largest || parts_.size() >= options_.max_partitions)
    {
        return false;
    }
    const hash_range range = parts_[*largest].range;
    const std::uint64_t half = (range.last.value - range.first.value) / 2;
    split(*largest, key_hash{range.first.value + half + 1});
    return true;
}

// The partition keeps what is below `at`; a new one gets the rest.
void plan_builder::split(std::size_t index, key_hash at)
{
    const balanced_partition whole = parts_[index];
    parts_[index] = part_of(whole, {whole.range.first, key_hash{at.value - 1}});
    parts_.push_back(part_of(whole, {at, whole.range.last}));
    servers_[whole.server].partitions.push_back(parts_.size() - 1);
    plan_.steps.emplace_back(split_step{at});
}

void plan_builder::split_off(std::size_t index, const hot_key& key)
{
    const key_hash at = key.at;
    const hash_range range = parts_[index].range;
    if (at != range.first)
    {
        split(index, at);
        index = parts_.size() - 1;
    }
    if (at != range.last)
    {
        split(index, key_hash{at.value + 1});
    }
}

void plan_builder::move(std::size_t from,
                        std::size_t position,
                        std::size_t to,
                        bool counts)
{
    std::vector<std::size_t>& owned = servers_[from].partitions;
    const std::size_t index = owned[position];
    owned[position] = owned.back();
    owned.pop_back();
    balanced_partition& part = parts_[index];
    part.server = to;
    servers_[from].load -= part.load;
    servers_[to].load += part.load;
    servers_[to].partitions.push_back(index);
    plan_.steps.emplace_back(move_step{part.range, view_.servers[to].id});
    const double counted = counts ? part.keys : 0;
    history_.add(part.range, counted, now_);
    counted_keys_ += counted;
}

bool plan_builder::may_merge(const balanced_partition& a,
                             const balanced_partition& b) const
{
    const bool same_owner = a.server == b.server && servers_[a.server].takes_keys;
    const bool is_still = !a.is_moving && !b.is_moving && !history_.overlaps(a.range) &&
                          !history_.overlaps(b.range);
    const bool is_cold =
        a.load + b.load < options_.cold_load * mean_ * servers_[a.server].capacity;
    // A neighbour that was split in this plan is no neighbour any more.
    const bool is_adjacent = a.range.last.value + 1 == b.range.first.value;
    return same_owner && is_still && is_cold && is_adjacent;
}

} // namespace camphorrock
