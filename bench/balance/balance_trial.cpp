#include "bench/balance/balance_trial.hpp"

#include <algorithm>
#include <numeric>
#include <random>

namespace camphorrock
{
namespace
{

constexpr duration step = milliseconds(100);
constexpr duration settle_time = seconds(60);
constexpr double settled_imbalance = 1.2;
constexpr double point = 0.01;

class balance_trial
{
public:
    balance_trial(const balance_scenario& scenario,
                  const named_placement& placement,
                  std::uint64_t seed)
        : scenario_(scenario),
          keys_(draw_keys(scenario.keys, scenario.zipf, scenario.load, seed)),
          weights_(keys_.weights), takes_keys_(scenario.servers, false),
          last_move_(scenario.keys, time_point::min()), random_(seed + 1),
          placement_(placement.create(keys_, scenario.servers, seed + 2))
    {
        std::fill_n(takes_keys_.begin(), scenario.at_start, true);
        popularity_changed();
    }

    balance_metrics run()
    {
        placement_->servers_changed(takes_keys_, now_);
        owners_ = placement_->owners();
        while (now_ < time_point(scenario_.length))
        {
            play_events();
            serve();
            now_ += step;
            placement_->advance(now_);
            count_moves();
            measure();
        }
        finish_event();
        metrics_.per_point = removed_ > 0 ? metrics_.moved / (removed_ / point) : 0;
        return metrics_;
    }

private:
    void play_events()
    {
        const duration at = now_.time_since_epoch();
        for (const hot_key_change& it : scenario_.hot)
        {
            if (it.at == at)
            {
                begin_event();
                set_hot(it.key);
            }
        }
        for (const membership_change& it : scenario_.membership)
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
        if (!has_begun_)
        {
            has_begun_ = true;
            metrics_.before = imbalance_now();
        }
        finish_event();
        event_at_ = now_;
        settled_at_ = time_point::min();
        is_open_ = true;
        event_peak_ = 0;
    }

    void finish_event()
    {
        if (!is_open_)
        {
            return;
        }
        is_open_ = false;
        removed_ += std::max(0.0, event_peak_ - imbalance_now());
        const bool is_settled = settled_at_ != time_point::min();
        if (!is_settled && now_ - event_at_ < settle_time)
        {
            return; // the next event came too early for a verdict
        }
        const std::chrono::duration<double> took = settled_at_ - event_at_;
        if (!is_settled || metrics_.settled_s < 0)
        {
            metrics_.settled_s = -1;
            return;
        }
        metrics_.settled_s = std::max(metrics_.settled_s, took.count());
    }

    void set_hot(std::optional<std::size_t> key)
    {
        keys_.weights = weights_;
        if (key)
        {
            const auto n = static_cast<double>(live());
            const double share = scenario_.hot_load / n;
            keys_.weights[*key] += scenario_.load * share / (1 - share);
        }
        popularity_changed();
    }

    void change_membership(const membership_change& change)
    {
        takes_keys_[change.server] = change.takes_keys;
        const auto all = static_cast<double>(scenario_.keys);
        const auto owned = static_cast<double>(
            std::count(owners_.begin(), owners_.end(), change.server));
        metrics_.unavoidable +=
            change.takes_keys ? all / static_cast<double>(live()) : owned;
        placement_->servers_changed(takes_keys_, now_);
    }

    std::size_t live() const
    {
        return static_cast<std::size_t>(
            std::count(takes_keys_.begin(), takes_keys_.end(), true));
    }

    void popularity_changed()
    {
        chosen_ = std::discrete_distribution<std::size_t>(keys_.weights.begin(),
                                                          keys_.weights.end());
        total_ = std::accumulate(keys_.weights.begin(), keys_.weights.end(), 0.0);
    }

    // The requests of one step.
    void serve()
    {
        const std::chrono::duration<double> length = step;
        std::poisson_distribution<int> count(total_ * length.count());
        const int n = count(random_);
        for (int i = 0; i < n; ++i)
        {
            placement_->observe(chosen_(random_), now_);
        }
    }

    void count_moves()
    {
        const std::vector<std::size_t>& next = placement_->owners();
        const double moved_before = metrics_.moved;
        for (std::size_t key = 0; key < next.size(); ++key)
        {
            if (next[key] == owners_[key])
            {
                continue;
            }
            (has_begun_ ? metrics_.moved : metrics_.warm_up_moved) += 1;
            const bool is_second = last_move_[key] != time_point::min() &&
                                   now_ - last_move_[key] < settle_time;
            metrics_.moved_twice += is_second ? 1 : 0;
            last_move_[key] = now_;
        }
        metrics_.burst = std::max(metrics_.burst, metrics_.moved - moved_before);
        owners_ = next;
    }

    void measure()
    {
        if (!has_begun_)
        {
            return;
        }
        const double value = imbalance_now();
        event_peak_ = std::max(event_peak_, value);
        metrics_.worst = std::max(metrics_.worst, value);
        if (value > settled_imbalance)
        {
            settled_at_ = time_point::min();
        }
        else if (settled_at_ == time_point::min())
        {
            settled_at_ = now_;
        }
        if (now_ - event_at_ == settle_time)
        {
            metrics_.at_60_s = std::max(metrics_.at_60_s, value);
            metrics_.optimum = std::max(metrics_.optimum, lower_bound());
        }
    }

    double imbalance_now() const
    {
        std::vector<double> loads(scenario_.servers, 0);
        for (std::size_t key = 0; key < owners_.size(); ++key)
        {
            loads[owners_[key]] += keys_.weights[key];
        }
        const double highest = *std::max_element(loads.begin(), loads.end());
        return highest * static_cast<double>(live()) / total_;
    }

    // No placement of whole keys can be better.
    double lower_bound() const
    {
        const double hottest =
            *std::max_element(keys_.weights.begin(), keys_.weights.end());
        return std::max(1.0, hottest * static_cast<double>(live()) / total_);
    }

    const balance_scenario& scenario_;
    key_population keys_;
    std::vector<double> weights_; // without a hot key
    std::vector<bool> takes_keys_;
    std::vector<std::size_t> owners_;
    std::vector<time_point> last_move_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> chosen_;
    double total_ = 0;
    std::unique_ptr<key_placement> placement_;
    time_point now_;
    bool has_begun_ = false;
    bool is_open_ = false;
    time_point event_at_;
    time_point settled_at_ = time_point::min();
    double event_peak_ = 0;
    double removed_ = 0;
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
