#include "core/balance/balancer.hpp"
#include "testing/test_headers.hpp"

#include <algorithm>
#include <limits>
#include <map>

namespace camphorrock
{
namespace
{

constexpr std::size_t server_count = 4;
constexpr std::size_t key_count = 64;
constexpr double all_keys = 1000; // estimated number of keys in the whole key space

balancer_options tested_options()
{
    balancer_options options;
    options.min_partitions = 2;
    return options;
}

double key_estimate(const hash_range& range)
{
    const double whole = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const double width = static_cast<double>(range.last.value - range.first.value) + 1;
    return std::max(range.first == range.last ? 1.0 : 0.0, all_keys * width / whole);
}

// A shard whose keys have individual loads. It applies plans immediately and checks each
// step.
struct checked_shard
{
    checked_shard() : policy(tested_options()), takes_keys(server_count, true)
    {
        std::mt19937_64 random(1);
        for (std::size_t i = 0; i < key_count; ++i)
        {
            loads[key_hash{random()}] = 10;
        }
        constexpr std::size_t parts = 16;
        const std::uint64_t width = std::numeric_limits<std::uint64_t>::max() / parts;
        for (std::size_t i = 0; i < parts; ++i)
        {
            const key_hash last{i + 1 == parts ? hash_range{}.last.value
                                               : (i + 1) * width - 1};
            owners[{key_hash{i * width}, last}] = i % server_count;
        }
    }

    balance_view view() const
    {
        balance_view result;
        for (std::size_t i = 0; i < server_count; ++i)
        {
            result.servers.push_back(
                {server_id("server-" + std::to_string(i)), 1, takes_keys[i]});
        }
        for (const auto& [range, owner] : owners)
        {
            balanced_partition part{range, owner, 0, key_estimate(range), {}, false};
            for (auto it = loads.lower_bound(range.first);
                 it != loads.end() && it->first <= range.last;
                 ++it)
            {
                part.load += it->second;
                if (!part.hottest || part.hottest->load < it->second)
                {
                    part.hottest = hot_key{it->first, it->second};
                }
            }
            result.partitions.push_back(part);
        }
        return result;
    }

    // Makes and applies one plan; returns the number of its steps.
    std::size_t plan()
    {
        const balance_view before = view();
        const rebalance_plan planned = policy.plan(before, now);
        RC_ASSERT(planned.steps.size() <= tested_options().max_steps);
        bool only_moves = true;
        bool is_forced = false;
        for (const rebalance_step& it : planned.steps)
        {
            if (const auto* move = std::get_if<move_step>(&it))
            {
                is_forced = apply(*move) || is_forced;
                continue;
            }
            only_moves = false;
            if (const auto* split = std::get_if<split_step>(&it))
            {
                apply(*split);
            }
            else
            {
                apply(std::get<merge_step>(it));
            }
        }
        check_cover();
        check_churn();
        if (only_moves && !is_forced)
        {
            RC_ASSERT(imbalance(view()) <= imbalance(before) + 1e-9);
        }
        return planned.steps.size();
    }

    // Returns true for a move off a server that takes no keys.
    bool apply(const move_step& step)
    {
        const auto it = owners.find(step.range);
        RC_ASSERT(it != owners.end());
        const std::size_t to = static_cast<std::size_t>(step.to.str().back() - '0');
        RC_ASSERT(takes_keys[to]);
        RC_ASSERT(it->second != to);
        const bool is_forced = !takes_keys[it->second];
        if (!is_forced)
        {
            for (const past_move& old : moves)
            {
                const bool is_recent = now - old.at < seconds(60);
                RC_ASSERT(!is_recent || !old.range.overlaps(step.range));
            }
        }
        moves.push_back({now, step.range, is_forced});
        it->second = to;
        return is_forced;
    }

    void apply(const split_step& step)
    {
        auto it =
            std::find_if(owners.begin(),
                         owners.end(),
                         [&](const auto& one) { return one.first.contains(step.at); });
        const hash_range whole = it->first;
        const std::size_t owner = it->second;
        RC_ASSERT(whole.first < step.at);
        owners.erase(it);
        owners[{whole.first, key_hash{step.at.value - 1}}] = owner;
        owners[{step.at, whole.last}] = owner;
    }

    void apply(const merge_step& step)
    {
        auto it =
            std::find_if(owners.begin(),
                         owners.end(),
                         [&](const auto& one) { return one.first.first == step.at; });
        RC_ASSERT(it != owners.end());
        RC_ASSERT(it != owners.begin());
        const auto lower = std::prev(it);
        RC_ASSERT(lower->second == it->second);
        const hash_range joined{lower->first.first, it->first.last};
        const std::size_t owner = it->second;
        owners.erase(lower);
        owners.erase(it);
        owners[joined] = owner;
    }

    // The partitions cover the key space without gaps or overlap.
    void check_cover() const
    {
        std::uint64_t next = 0;
        for (const auto& [range, owner] : owners)
        {
            RC_ASSERT(range.first.value == next);
            next = range.last.value + 1;
        }
        RC_ASSERT(next == 0U);
    }

    // The keys that moved in the last minute, apart from forced moves, stay within the
    // bound.
    void check_churn() const
    {
        double moved = 0;
        for (const past_move& it : moves)
        {
            const bool counts = !it.is_forced && now - it.at < seconds(60);
            moved += counts ? key_estimate(it.range) : 0;
        }
        // A range of a single key counts as one key, which the total must allow for.
        const double total = all_keys + key_count;
        RC_ASSERT(moved <= tested_options().churn_fraction * total + 1e-6);
    }

    struct past_move
    {
        time_point at;
        hash_range range;
        bool is_forced = false;
    };

    balancer policy;
    std::vector<bool> takes_keys;
    std::map<key_hash, double> loads;
    std::map<hash_range, std::size_t> owners;
    std::vector<past_move> moves;
    time_point now;
};

struct no_model
{
};

using shard_command = rc::state::Command<no_model, checked_shard>;

struct load_command : shard_command
{
    std::size_t key = *rc::gen::inRange<std::size_t>(0, key_count);
    int load = *rc::gen::element(0, 1, 10, 100, 600);

    void run(const no_model&, checked_shard& shard) const override
    {
        std::next(shard.loads.begin(), static_cast<std::ptrdiff_t>(key))->second = load;
    }

    void show(std::ostream& os) const override
    {
        os << "load(" << key << ", " << load << ")";
    }
};

struct membership_command : shard_command
{
    std::size_t server = *rc::gen::inRange<std::size_t>(0, server_count);

    void run(const no_model&, checked_shard& shard) const override
    {
        std::vector<bool> next = shard.takes_keys;
        next[server] = !next[server];
        if (std::count(next.begin(), next.end(), true) > 0)
        {
            shard.takes_keys = next;
        }
    }

    void show(std::ostream& os) const override
    {
        os << "toggle(" << server << ")";
    }
};

struct plan_command : shard_command
{
    int after_s = *rc::gen::inRange(0, 30);

    void run(const no_model&, checked_shard& shard) const override
    {
        shard.now += seconds(after_s);
        shard.plan();
    }

    void show(std::ostream& os) const override
    {
        os << "plan(after " << after_s << " s)";
    }
};

TEST_CASE("The balancer keeps its invariants under any changes of load and membership",
          "[fuzz]")
{
    rc::prop(
        "key space covered, churn bounded, no key moved twice a minute, plans settle",
        []
        {
            checked_shard shard;
            rc::state::check(no_model{},
                             shard,
                             rc::state::gen::execOneOfWithArgs<load_command,
                                                               membership_command,
                                                               plan_command>());
            // Under a constant load, plans eventually become empty, and by then
            // servers that take no keys own no partitions.
            std::size_t steps = 1;
            for (int round = 0; round < 100 && steps > 0; ++round)
            {
                shard.now += seconds(61);
                steps = shard.plan();
            }
            RC_ASSERT(steps == 0U);
            for (const auto& [range, owner] : shard.owners)
            {
                RC_ASSERT(shard.takes_keys[owner]);
            }
        });
}

} // namespace
} // namespace camphorrock
