#include "load/violation_trace.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <iterator>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr std::string_view separators = " ;,\"";
constexpr std::string_view digits = "0123456789";
constexpr std::string_view time_suffix = "_us\":";
constexpr std::size_t min_name_length = 6; // shorter words are not names
constexpr std::size_t hash_digits = 16;

// Added to the distance in time of lines that contain only a hash or an endpoint.
constexpr std::uint64_t broad_match_penalty = std::uint64_t(1) << 62;

constexpr std::size_t max_kept_length = 600; // of a kept line; the rest is cut off

bool is_number(std::string_view word)
{
    return word.find_first_not_of(digits) == std::string_view::npos;
}

bool is_name(std::string_view word)
{
    return word.size() >= min_name_length && !is_number(word) &&
           word.find_first_of(digits) != std::string_view::npos;
}

std::vector<std::string_view> words_of(std::string_view text)
{
    std::vector<std::string_view> words;
    while (!text.empty())
    {
        std::size_t end = std::min(text.find_first_of(separators), text.size());
        if (end > 0)
        {
            words.push_back(text.substr(0, end));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return words;
}

std::uint64_t number_of(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// The name of an attempt is its request's tag, a dot and a number. Returns the tag of an
// attempt, and any other name unchanged.
std::string_view without_attempt_number(std::string_view name)
{
    std::size_t point = name.rfind('.');
    bool is_attempt = point != std::string_view::npos &&
                      is_number(name.substr(point + 1)) &&
                      name.find(':') == std::string_view::npos;
    return is_attempt ? name.substr(0, point) : name;
}

// Matches the end of the name only at the end of a word: "a-10" does not contain "a-1".
bool contains_name(std::string_view line, std::string_view name)
{
    for (std::size_t at = line.find(name); at != std::string_view::npos;
         at = line.find(name, at + 1))
    {
        std::size_t end = at + name.size();
        if (end == line.size() ||
            std::isalnum(static_cast<unsigned char>(line[end])) == 0)
        {
            return true;
        }
    }
    return false;
}

bool contains_any(std::string_view line, const std::vector<std::string>& names)
{
    return std::any_of(names.begin(),
                       names.end(),
                       [&](const std::string& it) { return contains_name(line, it); });
}

// Returns true for a hash, a range of hashes or an endpoint, which many records have.
bool is_broad(std::string_view name)
{
    constexpr std::string_view hash_letters = "0123456789abcdef-";
    constexpr std::string_view endpoint_letters = "0123456789.:";
    bool is_hash = name.size() >= hash_digits &&
                   name.find_first_of("abcdef") != std::string_view::npos &&
                   name.find_first_not_of(hash_letters) == std::string_view::npos;
    return is_hash || name.find_first_not_of(endpoint_letters) == std::string_view::npos;
}

// Returns the first time in the line, in microseconds, or 0 if there is none.
std::uint64_t time_of(std::string_view line)
{
    std::size_t at = line.find(time_suffix);
    return at == std::string_view::npos ? 0
                                        : number_of(line.substr(at + time_suffix.size()));
}

} // namespace

violation_trace::violation_trace(const violation& found, std::size_t limit)
    : limit_(limit)
{
    std::vector<std::string_view> words = words_of(found.subject);
    std::vector<std::string_view> more = words_of(found.text);
    std::copy(more.begin(), more.end(), std::back_inserter(words));
    for (std::string_view it : words)
    {
        if (is_name(it))
        {
            std::vector<std::string>& names = is_broad(it) ? broad_names_ : names_;
            names.emplace_back(without_attempt_number(it));
        }
        if (is_number(it))
        {
            violation_time_ = std::max(violation_time_, number_of(it));
        }
    }
}

void violation_trace::add(std::string_view line)
{
    bool matches_name = contains_any(line, names_);
    if (!matches_name && !contains_any(line, broad_names_))
    {
        return;
    }
    std::uint64_t at = time_of(line);
    std::uint64_t distance =
        at > violation_time_ ? at - violation_time_ : violation_time_ - at;
    distance += matches_name ? 0 : broad_match_penalty;
    by_distance_.emplace(distance,
                         kept_line{at, std::string(line.substr(0, max_kept_length))});
    if (by_distance_.size() > limit_)
    {
        by_distance_.erase(std::prev(by_distance_.end()));
    }
}

std::vector<std::string> violation_trace::take_lines()
{
    std::vector<kept_line> lines;
    for (auto& [distance, it] : by_distance_)
    {
        lines.push_back(std::move(it));
    }
    by_distance_.clear();
    std::stable_sort(lines.begin(),
                     lines.end(),
                     [](const kept_line& one, const kept_line& other)
                     { return one.at < other.at; });
    std::vector<std::string> out;
    out.reserve(lines.size());
    for (kept_line& it : lines)
    {
        out.push_back(std::move(it.text));
    }
    return out;
}

} // namespace camphorrock
