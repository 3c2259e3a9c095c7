#include "load/arrival_process.hpp"

namespace camphorrock
{
namespace
{

constexpr double microseconds_per_second = 1e6;

duration draw_gap(double rate, std::mt19937_64& random)
{
    double gap_seconds = std::exponential_distribution<>(rate)(random);
    return duration(static_cast<duration::rep>(gap_seconds * microseconds_per_second));
}

} // namespace

// A Poisson process is memoryless, so a gap that reaches past the end of a step is
// discarded, and a new one is drawn from the start of the next step at its rate.
std::optional<duration> arrival_process::next_arrival(std::mt19937_64& random)
{
    while (step_ < rates_.size())
    {
        bool is_last = step_ + 1 == rates_.size();
        duration until = is_last ? duration::max() : rates_[step_ + 1].at;
        if (rates_[step_].rate > 0)
        {
            duration gap = draw_gap(rates_[step_].rate, random);
            if (gap < until - generated_until_)
            {
                generated_until_ += gap;
                return generated_until_;
            }
        }
        generated_until_ = until;
        ++step_;
    }
    return std::nullopt;
}

} // namespace camphorrock
