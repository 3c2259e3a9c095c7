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
constexpr double all_keys = 1000; // that the widths of ranges stand for

balancer_options tested_options()
{
    balancer_options options;
    options.min_partitions = 2;
    return options;
}

double price(const hash_range& range)
{
    const double whole = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const double width = static_cast<double>(range.last.value - range.first.value) + 1;
    return std::max(range.first == range.last ? 1.0 : 0.0, all_keys * width / whole);
}

// A shard that carries plans out at once, with keys that have loads of their own, and the
// checks of every step.
struct checked_shard
{
    checked_shard() : decide(tested_options()), takes_keys(server_count, true)
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
        balance_view seen;
        for (std::size_t i = 0; i < server_count; ++i)
        {
            seen.servers.push_back(
                {server_id("server-" + std::to_string(i)), 1, takes_keys[i]});
        }
        for (const auto& [range, owner] : owners)
        {
            balanced_partition part{range, owner, 0, price(range), {}, false};
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
            seen.partitions.push_back(part);
        }
        return seen;
    }

    // Plans once and carries it out; returns the number of steps.
    std::size_t plan()
    {
        const balance_view before = view();
        const rebalance_plan made = decide.plan(before, now);
        RC_ASSERT(made.steps.size() <= tested_options().max_steps);
        bool only_moves = true;
        bool is_forced = false;
        for (const rebalance_step& it : made.steps)
        {
            if (const auto* move = std::get_if<move_step>(&it))
            {
                is_forced = carry_out(*move) || is_forced;
                continue;
            }
            only_moves = false;
            if (const auto* split = std::get_if<split_step>(&it))
            {
                carry_out(*split);
            }
            else
            {
                carry_out(std::get<merge_step>(it));
            }
        }
        check_cover();
        check_churn();
        if (only_moves && !is_forced)
        {
            RC_ASSERT(imbalance(view()) <= imbalance(before) + 1e-9);
        }
        return made.steps.size();
    }

    // True for a move off a server that takes no keys.
    bool carry_out(const move_step& step)
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

    void carry_out(const split_step& step)
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

    void carry_out(const merge_step& step)
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

    // Keys that were moved by choice in the last minute.
    void check_churn() const
    {
        double moved = 0;
        for (const past_move& it : moves)
        {
            const bool counts = !it.is_forced && now - it.at < seconds(60);
            moved += counts ? price(it.range) : 0;
        }
        // A single key counts as one, however narrow its range.
        const double total = all_keys + key_count;
        RC_ASSERT(moved <= tested_options().churn_share * total + 1e-6);
    }

    struct past_move
    {
        time_point at;
        hash_range range;
        bool is_forced = false;
    };

    balancer decide;
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

    void run(const no_model&, checked_shard& on) const override
    {
        std::next(on.loads.begin(), static_cast<std::ptrdiff_t>(key))->second = load;
    }

    void show(std::ostream& os) const override
    {
        os << "load(" << key << ", " << load << ")";
    }
};

struct membership_command : shard_command
{
    std::size_t server = *rc::gen::inRange<std::size_t>(0, server_count);

    void run(const no_model&, checked_shard& on) const override
    {
        std::vector<bool> next = on.takes_keys;
        next[server] = !next[server];
        if (std::count(next.begin(), next.end(), true) > 0)
        {
            on.takes_keys = next;
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

    void run(const no_model&, checked_shard& on) const override
    {
        on.now += seconds(after_s);
        on.plan();
    }

    void show(std::ostream& os) const override
    {
        os << "plan(after " << after_s << " s)";
    }
};

TEST_CASE("The balancer keeps its rules whatever the load does", "[fuzz]")
{
    rc::prop("cover, churn budget, no key twice a minute, and an end",
             []
             {
                 checked_shard on;
                 rc::state::check(no_model{},
                                  on,
                                  rc::state::gen::execOneOfWithArgs<load_command,
                                                                    membership_command,
                                                                    plan_command>());
                 // The same load for long enough: it comes to rest, and servers that
                 // leave are empty.
                 std::size_t steps = 1;
                 for (int round = 0; round < 100 && steps > 0; ++round)
                 {
                     on.now += seconds(61);
                     steps = on.plan();
                 }
                 RC_ASSERT(steps == 0U);
                 for (const auto& [range, owner] : on.owners)
                 {
                     RC_ASSERT(on.takes_keys[owner]);
                 }
             });
}

} // namespace
} // namespace camphorrock
