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

// The part of a partition in a range within it. Assumes that its keys, and its load apart
// from the hottest key, are spread evenly.
balanced_partition part_of(const balanced_partition& whole, const hash_range& range)
{
    balanced_partition part = whole;
    const double fraction = width(range) / width(whole.range);
    const bool has_hot_key = whole.hottest && range.contains(whole.hottest->at);
    const double hot_load = whole.hottest ? std::min(whole.hottest->load, whole.load) : 0;
    part.range = range;
    part.load = (whole.load - hot_load) * fraction + (has_hot_key ? hot_load : 0);
    part.keys = std::max(range.first == range.last ? 1.0 : 0.0, whole.keys * fraction);
    part.hottest = has_hot_key ? whole.hottest : std::nullopt;
    return part;
}

} // namespace

plan_builder::plan_builder(const balance_view& view,
                           const balancer_options& options,
                           move_history& history,
                           time_point now)
    : view_(view), options_(options), history_(history), now_(now),
      partitions_(view.partitions), churned_keys_(history.keys())
{
    for (const balanced_server& it : view.servers)
    {
        servers_.push_back({0, it.capacity, it.takes_keys, {}});
    }
    double load = 0;
    double capacity = 0;
    for (std::size_t i = 0; i < partitions_.size(); ++i)
    {
        server_state& owner = servers_[partitions_[i].server];
        owner.load += partitions_[i].load;
        owner.partitions.push_back(i);
        load += partitions_[i].load;
        total_keys_ += partitions_[i].keys;
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
        std::vector<std::size_t>& remaining = servers_[from].partitions;
        std::sort(remaining.begin(),
                  remaining.end(),
                  [&](std::size_t a, std::size_t b)
                  { return partitions_[a].load < partitions_[b].load; });
        while (!remaining.empty() && !has_reached_step_limit())
        {
            move(from, remaining.size() - 1, least_loaded(), false);
        }
    }
}

void plan_builder::even_out(std::optional<std::size_t> only_server)
{
    double slack = options_.start_imbalance;
    while (mean_ > 0 && !has_reached_step_limit())
    {
        const std::optional<std::size_t> high = only_server ? only_server : most_loaded();
        if (!high || !servers_[*high].takes_keys)
        {
            return;
        }
        const std::size_t low = least_loaded();
        if (is_balanced(*high, low, slack))
        {
            return;
        }
        slack = options_.stop_imbalance;
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
    const std::size_t min_count = options_.min_partitions * servers_.size();
    std::size_t count = partitions_.size();
    std::size_t merges = 0;
    const std::size_t n = view_.partitions.size();
    for (std::size_t i = 1; i < n && merges < options_.max_merges && count > min_count;
         ++i)
    {
        if (has_reached_step_limit() || !may_merge(partitions_[i - 1], partitions_[i]))
        {
            continue;
        }
        plan_.steps.emplace_back(merge_step{partitions_[i].range.first});
        --count;
        ++merges;
        ++i; // a merged partition does not merge again in the same plan
    }
}

rebalance_plan plan_builder::take_plan()
{
    plan_.reason = plan_.steps.empty() ? "" : "load";
    return std::move(plan_);
}

bool plan_builder::has_reached_step_limit() const
{
    // Splitting off a hot key takes up to two steps at once.
    return plan_.steps.size() + 2 > options_.max_steps;
}

double plan_builder::remaining_churn() const
{
    return options_.churn_fraction * total_keys_ - churned_keys_;
}

std::optional<std::size_t> plan_builder::most_loaded() const
{
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < servers_.size(); ++i)
    {
        const bool takes_keys = servers_[i].takes_keys;
        if (takes_keys &&
            (!found || servers_[i].relative_load() > servers_[*found].relative_load()))
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
        if (servers_[i].takes_keys && servers_[i].relative_load() < lowest)
        {
            found = i;
            lowest = servers_[i].relative_load();
        }
    }
    return found;
}

bool plan_builder::is_balanced(std::size_t high, std::size_t low, double slack) const
{
    return servers_[high].relative_load() <= mean_ * (1 + slack) &&
           servers_[low].relative_load() >= mean_ * (1 - 2 * slack);
}

// The least gain that a move must have. With many small partitions, half of the mean load
// of a partition suffices.
double plan_builder::required_gain(std::size_t from) const
{
    const server_state& server = servers_[from];
    const auto n =
        static_cast<double>(std::max<std::size_t>(1, server.partitions.size()));
    return std::min(options_.min_gain * mean_, server.relative_load() / n / 2);
}

// The reduction of the higher of the two relative loads, counted down to the mean only.
double
plan_builder::gain(const balanced_partition& part, std::size_t from, std::size_t to) const
{
    const server_state& high = servers_[from];
    const server_state& low = servers_[to];
    const double high_after = (high.load - part.load) / high.capacity;
    const double low_after = (low.load + part.load) / low.capacity;
    return high.relative_load() - std::max({high_after, low_after, mean_});
}

std::optional<plan_builder::candidate> plan_builder::best_move(std::size_t from,
                                                               std::size_t to) const
{
    std::optional<candidate> best;
    const double required = required_gain(from);
    const std::vector<std::size_t>& owned = servers_[from].partitions;
    for (std::size_t i = 0; i < owned.size(); ++i)
    {
        const balanced_partition& part = partitions_[owned[i]];
        const double gained = gain(part, from, to);
        const bool is_allowed =
            !part.is_moving && part.keys <= remaining_churn() && gained >= required;
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

// Splits off a key that carries much of its partition's load. Splits move no keys, and
// make the other keys of the partition cheap to move.
bool plan_builder::split_hot_key(std::size_t server)
{
    for (const std::size_t index : servers_[server].partitions)
    {
        const balanced_partition& part = partitions_[index];
        const bool is_hot = part.hottest && part.range.first != part.range.last &&
                            part.hottest->load >= options_.hot_key_fraction * part.load &&
                            part.hottest->load >= options_.min_hot_key_load * mean_ *
                                                      servers_[server].capacity;
        if (is_hot && !part.is_moving &&
            partitions_.size() + 2 <= options_.max_partitions)
        {
            split_off(index, *part.hottest);
            return true;
        }
    }
    return false;
}

// Halves the most loaded partition that is too large to move, so that one half may fit.
bool plan_builder::split_largest(std::size_t server)
{
    const std::size_t low = least_loaded();
    const double required = required_gain(server);
    std::optional<std::size_t> largest;
    for (const std::size_t index : servers_[server].partitions)
    {
        const balanced_partition& part = partitions_[index];
        const bool may_split = part.range.first != part.range.last && !part.is_moving &&
                               !history_.overlaps(part.range) &&
                               gain(part, server, low) < required &&
                               part.load >= 2 * required * servers_[server].capacity;
        if (may_split && (!largest || part.load > partitions_[*largest].load))
        {
            largest = index;
        }
    }
    if (!largest || partitions_.size() >= options_.max_partitions)
    {
        return false;
    }
    const hash_range range = partitions_[*largest].range;
    const std::uint64_t half = (range.last.value - range.first.value) / 2;
    split(*largest, key_hash{range.first.value + half + 1});
    return true;
}

// The partition keeps the hashes below `at`; a new partition gets the rest.
void plan_builder::split(std::size_t index, key_hash at)
{
    const balanced_partition whole = partitions_[index];
    partitions_[index] = part_of(whole, {whole.range.first, key_hash{at.value - 1}});
    partitions_.push_back(part_of(whole, {at, whole.range.last}));
    servers_[whole.server].partitions.push_back(partitions_.size() - 1);
    plan_.steps.emplace_back(split_step{at});
}

void plan_builder::split_off(std::size_t index, const hot_key& key)
{
    const key_hash at = key.at;
    const hash_range range = partitions_[index].range;
    if (at != range.first)
    {
        split(index, at);
        index = partitions_.size() - 1;
    }
    if (at != range.last)
    {
        split(index, key_hash{at.value + 1});
    }
}

void plan_builder::move(std::size_t from,
                        std::size_t position,
                        std::size_t to,
                        bool counts_as_churn)
{
    std::vector<std::size_t>& owned = servers_[from].partitions;
    const std::size_t index = owned[position];
    owned[position] = owned.back();
    owned.pop_back();
    balanced_partition& part = partitions_[index];
    part.server = to;
    servers_[from].load -= part.load;
    servers_[to].load += part.load;
    servers_[to].partitions.push_back(index);
    plan_.steps.emplace_back(move_step{part.range, view_.servers[to].id});
    const double churned = counts_as_churn ? part.keys : 0;
    history_.add(part.range, churned, now_);
    churned_keys_ += churned;
}

bool plan_builder::may_merge(const balanced_partition& a,
                             const balanced_partition& b) const
{
    const bool has_same_owner = a.server == b.server && servers_[a.server].takes_keys;
    const bool is_stationary = !a.is_moving && !b.is_moving &&
                               !history_.overlaps(a.range) && !history_.overlaps(b.range);
    const bool is_cold =
        a.load + b.load < options_.max_cold_load * mean_ * servers_[a.server].capacity;
    // A partition that was split in this plan may no longer be adjacent.
    const bool is_adjacent = a.range.last.value + 1 == b.range.first.value;
    return has_same_owner && is_stationary && is_cold && is_adjacent;
}

} // namespace camphorrock
