#include "core/once/id_filter.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr std::size_t bits_per_word = 64;
constexpr std::size_t bits_per_id = 24;
constexpr unsigned hash_count = 8; // bits set for each key
constexpr std::uint64_t second_hash_multiplier = 0xc2b2ae3d27d4eb4f;

// The index of a key's n-th bit among `count` bits, by double hashing.
std::size_t bit_index(const once_key& key, unsigned n, std::size_t count)
{
    std::uint64_t first = once_key_hash()(key);
    std::uint64_t second = (first ^ (first >> 29)) * second_hash_multiplier;
    return (first + n * (second | 1)) % count;
}

} // namespace

id_filter::id_filter(std::size_t bytes)
    : word_count_(bytes / 2 / sizeof(std::uint64_t)), current_(word_count_),
      previous_(word_count_)
{
}

void id_filter::insert(const once_key& key)
{
    if (word_count_ == 0)
    {
        return;
    }
    if (inserted_ >= capacity())
    {
        std::swap(current_, previous_);
        current_.assign(word_count_, 0);
        inserted_ = 0;
    }
    for (unsigned n = 0; n < hash_count; ++n)
    {
        std::size_t at = bit_index(key, n, word_count_ * bits_per_word);
        current_[at / bits_per_word] |= std::uint64_t(1) << (at % bits_per_word);
    }
    ++inserted_;
}

bool id_filter::contains(const once_key& key) const
{
    return word_count_ != 0 && (has_all(current_, key) || has_all(previous_, key));
}

std::size_t id_filter::capacity() const
{
    return word_count_ * bits_per_word / bits_per_id;
}

bool id_filter::has_all(const bits& words, const once_key& key)
{
    for (unsigned n = 0; n < hash_count; ++n)
    {
        std::size_t at = bit_index(key, n, words.size() * bits_per_word);
        if ((words[at / bits_per_word] >> (at % bits_per_word) & 1) == 0)
        {
            return false;
        }
    }
    return true;
}

} // namespace camphorrock
