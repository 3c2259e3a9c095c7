#include "store/backoff.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr int max_factor = 16;

} // namespace

backoff::backoff(duration mean, std::uint64_t seed)
    : first_mean_(mean), mean_(mean), random_(seed)
{
}

duration backoff::next()
{
    std::uniform_int_distribution<duration::rep> draw(mean_.count() / 2,
                                                      mean_.count() * 3 / 2);
    const duration pause(draw(random_));
    mean_ = std::min(mean_ * 2, first_mean_ * max_factor);
    return pause;
}

void backoff::reset()
{
    mean_ = first_mean_;
}

} // namespace camphorrock
