#pragma once

// Builds one plan of the balancer by applying its steps to a working copy of the view.

#include "core/balance/balancer.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace camphorrock
{

class plan_builder
{
public:
    // The builder adds the moves of the plan to the history. All arguments must outlive
    // the builder.
    plan_builder(const balance_view& view,
                 const balancer_options& options,
                 move_history& history,
                 time_point now);

    // Moves partitions off servers that take no keys, the most loaded ones first. These
    // moves are exempt from the bounds on churn.
    void evacuate();

    // Evens out the load. If `only_server` is set, load is moved off that server only.
    void even_out(std::optional<std::size_t> only_server);

    // Merges adjacent cold partitions of the same owner.
    void merge_cold();

    // Returns the plan with its reason. Ends the use of the builder.
    rebalance_plan take_plan();

private:
    struct server_state
    {
        double load = 0;
        double capacity = 1;
        bool takes_keys = true;
        std::vector<std::size_t> partitions; // indices in partitions_

        double relative_load() const
        {
            return load / capacity;
        }
    };

    struct candidate
    {
        std::size_t position = 0; // index in server_state::partitions
        double gain_per_key = 0;
    };

    bool has_reached_step_limit() const;
    double remaining_churn() const;
    std::optional<std::size_t> most_loaded() const;
    std::size_t least_loaded() const;
    bool is_balanced(std::size_t high, std::size_t low, double slack) const;
    double required_gain(std::size_t from) const;
    double gain(const balanced_partition& part, std::size_t from, std::size_t to) const;
    std::optional<candidate> best_move(std::size_t from, std::size_t to) const;
    bool split_hot_key(std::size_t server);
    bool split_largest(std::size_t server);
    void split(std::size_t index, key_hash at);
    void split_off(std::size_t index, const hot_key& key);
    void
    move(std::size_t from, std::size_t position, std::size_t to, bool counts_as_churn);
    bool may_merge(const balanced_partition& a, const balanced_partition& b) const;

    const balance_view& view_;
    const balancer_options& options_;
    move_history& history_;
    time_point now_;
    // Those of the view, followed by those split off.
    std::vector<balanced_partition> partitions_;
    std::vector<server_state> servers_;
    double mean_ = 0; // mean relative load
    double total_keys_ = 0;
    double churned_keys_ = 0; // moved in the churn period
    rebalance_plan plan_;
};

} // namespace camphorrock
