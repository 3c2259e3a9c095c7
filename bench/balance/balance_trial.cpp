#include "bench/balance/balance_trial.hpp"

#include <algorithm>
#include <numeric>
#include <random>

namespace camphorrock
{
namespace
{

constexpr duration time_step = milliseconds(100);
constexpr duration settling_limit = seconds(60); // also the window of repeated moves
constexpr double settled_imbalance = 1.2;
constexpr double imbalance_point = 0.01;

class balance_trial
{
public:
    balance_trial(const balance_scenario& scenario,
                  const named_placement& placement,
                  std::uint64_t seed)
        : scenario_(scenario),
          keys_(draw_keys(
              scenario.key_count, scenario.zipf_exponent, scenario.requests_per_s, seed)),
          base_weights_(keys_.weights), takes_keys_(scenario.servers, false),
          last_moved_at_(scenario.key_count, time_point::min()), random_(seed + 1),
          placement_(placement.create(keys_, scenario.servers, seed + 2))
    {
        std::fill_n(takes_keys_.begin(), scenario.initial_servers, true);
        update_popularity();
    }

    balance_metrics run()
    {
        placement_->servers_changed(takes_keys_, now_);
        owners_ = placement_->owners();
        while (now_ < time_point(scenario_.length))
        {
            apply_scheduled_events();
            send_requests();
            now_ += time_step;
            placement_->advance(now_);
            count_moved_keys();
            measure_imbalance();
        }
        finish_event();
        metrics_.moved_keys_per_point =
            removed_imbalance_ > 0
                ? metrics_.moved_keys / (removed_imbalance_ / imbalance_point)
                : 0;
        return metrics_;
    }

private:
    void apply_scheduled_events()
    {
        const duration at = now_.time_since_epoch();
        for (const hot_key_change& it : scenario_.hot_key_changes)
        {
            if (it.at == at)
            {
                begin_event();
                set_hot_key(it.key);
            }
        }
        for (const membership_change& it : scenario_.membership_changes)
        {
            if (it.at == at)
            {
                begin_event();
                change_membership(it);
            }
        }
    }

    void begin_event()
    {
        if (!has_any_event_begun_)
        {
            has_any_event_begun_ = true;
            metrics_.imbalance_before = imbalance();
        }
        finish_event();
        event_began_at_ = now_;
        settled_at_ = time_point::min();
        is_event_open_ = true;
        event_peak_imbalance_ = 0;
    }

    void finish_event()
    {
        if (!is_event_open_)
        {
            return;
        }
        is_event_open_ = false;
        removed_imbalance_ += std::max(0.0, event_peak_imbalance_ - imbalance());
        const bool is_settled = settled_at_ != time_point::min();
        if (!is_settled && now_ - event_began_at_ < settling_limit)
        {
            return; // the next event came too early to tell whether it settles
        }
        const std::chrono::duration<double> settling_time = settled_at_ - event_began_at_;
        if (!is_settled || metrics_.settling_time_s < 0)
        {
            metrics_.settling_time_s = -1;
            return;
        }
        metrics_.settling_time_s =
            std::max(metrics_.settling_time_s, settling_time.count());
    }

    void set_hot_key(std::optional<std::size_t> key)
    {
        keys_.weights = base_weights_;
        if (key)
        {
            const auto server_count = static_cast<double>(active_servers());
            const double share = scenario_.hot_load_fraction / server_count;
            keys_.weights[*key] += scenario_.requests_per_s * share / (1 - share);
        }
        update_popularity();
    }

    void change_membership(const membership_change& change)
    {
        takes_keys_[change.server] = change.takes_keys;
        const auto all_keys = static_cast<double>(scenario_.key_count);
        const auto owned = static_cast<double>(
            std::count(owners_.begin(), owners_.end(), change.server));
        metrics_.unavoidable_moved_keys +=
            change.takes_keys ? all_keys / static_cast<double>(active_servers()) : owned;
        placement_->servers_changed(takes_keys_, now_);
    }

    std::size_t active_servers() const
    {
        return static_cast<std::size_t>(
            std::count(takes_keys_.begin(), takes_keys_.end(), true));
    }

    void update_popularity()
    {
        key_distribution_ = std::discrete_distribution<std::size_t>(keys_.weights.begin(),
                                                                    keys_.weights.end());
        total_weight_ = std::accumulate(keys_.weights.begin(), keys_.weights.end(), 0.0);
    }

    // Sends the requests of one time step.
    void send_requests()
    {
        const std::chrono::duration<double> length = time_step;
        std::poisson_distribution<int> count(total_weight_ * length.count());
        const int request_count = count(random_);
        for (int i = 0; i < request_count; ++i)
        {
            placement_->observe(key_distribution_(random_), now_);
        }
    }

    void count_moved_keys()
    {
        const std::vector<std::size_t>& new_owners = placement_->owners();
        const double moved_before = metrics_.moved_keys;
        for (std::size_t key = 0; key < new_owners.size(); ++key)
        {
            if (new_owners[key] == owners_[key])
            {
                continue;
            }
            (has_any_event_begun_ ? metrics_.moved_keys : metrics_.warm_up_moved_keys) +=
                1;
            const bool is_second = last_moved_at_[key] != time_point::min() &&
                                   now_ - last_moved_at_[key] < settling_limit;
            metrics_.keys_moved_twice += is_second ? 1 : 0;
            last_moved_at_[key] = now_;
        }
        metrics_.max_moved_keys_per_step = std::max(metrics_.max_moved_keys_per_step,
                                                    metrics_.moved_keys - moved_before);
        owners_ = new_owners;
    }

    void measure_imbalance()
    {
        if (!has_any_event_begun_)
        {
            return;
        }
        const double current_imbalance = imbalance();
        event_peak_imbalance_ = std::max(event_peak_imbalance_, current_imbalance);
        metrics_.worst_imbalance = std::max(metrics_.worst_imbalance, current_imbalance);
        if (current_imbalance > settled_imbalance)
        {
            settled_at_ = time_point::min();
        }
        else if (settled_at_ == time_point::min())
        {
            settled_at_ = now_;
        }
        if (now_ - event_began_at_ == settling_limit)
        {
            metrics_.imbalance_at_60_s =
                std::max(metrics_.imbalance_at_60_s, current_imbalance);
            metrics_.imbalance_lower_bound =
                std::max(metrics_.imbalance_lower_bound, imbalance_bound());
        }
    }

    double imbalance() const
    {
        std::vector<double> loads(scenario_.servers, 0);
        for (std::size_t key = 0; key < owners_.size(); ++key)
        {
            loads[owners_[key]] += keys_.weights[key];
        }
        const double highest = *std::max_element(loads.begin(), loads.end());
        return highest * static_cast<double>(active_servers()) / total_weight_;
    }

    // The lowest imbalance that a placement of whole keys can reach.
    double imbalance_bound() const
    {
        const double hottest =
            *std::max_element(keys_.weights.begin(), keys_.weights.end());
        return std::max(1.0,
                        hottest * static_cast<double>(active_servers()) / total_weight_);
    }

    const balance_scenario& scenario_;
    key_population keys_;
    std::vector<double> base_weights_; // requests per second, without the hot key
    std::vector<bool> takes_keys_;
    std::vector<std::size_t> owners_;
    std::vector<time_point> last_moved_at_; // min(): not moved yet
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> key_distribution_;
    double total_weight_ = 0; // requests per second
    std::unique_ptr<key_placement> placement_;
    time_point now_;
    bool has_any_event_begun_ = false;
    bool is_event_open_ = false;
    time_point event_began_at_;
    time_point settled_at_ = time_point::min(); // min(): not settled
    double event_peak_imbalance_ = 0;
    double removed_imbalance_ = 0;
    balance_metrics metrics_;
};

} // namespace

balance_metrics run_balance_trial(const balance_scenario& scenario,
                                  const named_placement& placement,
                                  std::uint64_t seed)
{
    return balance_trial(scenario, placement, seed).run();
}

} // namespace camphorrock
