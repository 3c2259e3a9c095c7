#include "core/once/id_filter.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr std::size_t bits_per_word = 64;
constexpr std::size_t bits_per_id = 24;
constexpr unsigned probes = 8;
constexpr std::uint64_t second_seed = 0xc2b2ae3d27d4eb4f;

// The place of the n-th bit of a key, by double hashing.
std::size_t place(const once_key& key, unsigned n, std::size_t count)
{
    std::uint64_t first = once_key_hash()(key);
    std::uint64_t second = (first ^ (first >> 29)) * second_seed;
    return (first + n * (second | 1)) % count;
}

} // namespace

id_filter::id_filter(std::size_t bytes)
    : words_(bytes / 2 / sizeof(std::uint64_t)), current_(words_), previous_(words_)
{
}

void id_filter::insert(const once_key& key)
{
    if (words_ == 0)
    {
        return;
    }
    if (inserted_ >= capacity())
    {
        std::swap(current_, previous_);
        current_.assign(words_, 0);
        inserted_ = 0;
    }
    for (unsigned n = 0; n < probes; ++n)
    {
        std::size_t at = place(key, n, words_ * bits_per_word);
        current_[at / bits_per_word] |= std::uint64_t(1) << (at % bits_per_word);
    }
    ++inserted_;
}

bool id_filter::contains(const once_key& key) const
{
    return words_ != 0 && (has_all(current_, key) || has_all(previous_, key));
}

std::size_t id_filter::capacity() const
{
    return words_ * bits_per_word / bits_per_id;
}

bool id_filter::has_all(const bits& words, const once_key& key)
{
    for (unsigned n = 0; n < probes; ++n)
    {
        std::size_t at = place(key, n, words.size() * bits_per_word);
        if ((words[at / bits_per_word] >> (at % bits_per_word) & 1) == 0)
        {
            return false;
        }
    }
    return true;
}

} // namespace camphorrock
