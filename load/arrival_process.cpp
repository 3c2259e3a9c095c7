#include "load/arrival_process.hpp"

namespace camphorrock
{
namespace
{

constexpr double microseconds_per_second = 1e6;

duration draw_gap(double rate, std::mt19937_64& random)
{
    double taken = std::exponential_distribution<>(rate)(random);
    return duration(static_cast<duration::rep>(taken * microseconds_per_second));
}

} // namespace

// The process has no memory, so a gap that reaches into the next step is drawn anew from
// that step's begin.
std::optional<duration> arrival_process::next(std::mt19937_64& random)
{
    while (step_ < rates_.size())
    {
        bool is_last = step_ + 1 == rates_.size();
        duration until = is_last ? duration::max() : rates_[step_ + 1].at;
        if (rates_[step_].rate > 0)
        {
            duration gap = draw_gap(rates_[step_].rate, random);
            if (gap < until - last_)
            {
                last_ += gap;
                return last_;
            }
        }
        last_ = until;
        ++step_;
    }
    return std::nullopt;
}

} // namespace camphorrock
