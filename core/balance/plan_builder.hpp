#pragma once

// Builds one plan of the balancer on a working copy of the view.

#include "core/balance/balancer.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace camphorrock
{

class plan_builder
{
public:
    // The history is kept up with the moves of the plan. All must outlive the builder.
    plan_builder(const balance_view& view,
                 const balancer_options& options,
                 move_history& history,
                 time_point now);

    // Moves the partitions of servers that take no keys.
    void evacuate();

    // Evens out the load; `only` names the one server that may be relieved.
    void even_out(std::optional<std::size_t> only);

    // Merges cold neighbours.
    void merge_cold();

    // The plan, with its reason.
    rebalance_plan take();

private:
    struct server_state
    {
        double load = 0;
        double capacity = 1;
        bool takes_keys = true;
        std::vector<std::size_t> partitions; // indices in parts_

        double relative() const
        {
            return load / capacity;
        }
    };

    struct candidate
    {
        std::size_t position = 0; // in the server's list
        double gain_per_key = 0;
    };

    bool is_full() const;
    double budget() const;
    std::optional<std::size_t> most_loaded() const;
    std::size_t least_loaded() const;
    bool is_content(std::size_t high, std::size_t low, double slack) const;
    double least_gain(std::size_t from) const;
    double gain(const balanced_partition& part, std::size_t from, std::size_t to) const;
    std::optional<candidate> best_move(std::size_t from, std::size_t to) const;
    bool split_hot_key(std::size_t server);
    bool split_largest(std::size_t server);
    void split(std::size_t index, key_hash at);
    void split_off(std::size_t index, const hot_key& key);
    void move(std::size_t from, std::size_t position, std::size_t to, bool counts);
    bool may_merge(const balanced_partition& a, const balanced_partition& b) const;

    const balance_view& view_;
    const balancer_options& options_;
    move_history& history_;
    time_point now_;
    std::vector<balanced_partition> parts_; // of the view, and those split off behind
    std::vector<server_state> servers_;
    double mean_ = 0; // relative load
    double total_keys_ = 0;
    double counted_keys_ = 0; // moved lately, against the budget
    rebalance_plan plan_;
};

} // namespace camphorrock
