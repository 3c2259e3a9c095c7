#pragma once

// A strongly typed string: each kind of name has a type of its own, so that the name of a
// server cannot be passed where the name of a service is expected. A kind is declared
// with an incomplete tag type:
//
//     using server_id = tagged_string<struct server_id_tag>;
//
// Values compare and hash as their text. Empty text means that there is no name.

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace camphorrock
{

template<class Tag>
class tagged_string
{
public:
    tagged_string() = default;

    explicit tagged_string(std::string text) : text_(std::move(text)) {}

    const std::string& str() const
    {
        return text_;
    }

    bool empty() const
    {
        return text_.empty();
    }

    auto operator<=>(const tagged_string&) const = default;

private:
    std::string text_;
};

} // namespace camphorrock

template<class Tag>
struct std::hash<camphorrock::tagged_string<Tag>>
{
    std::size_t operator()(const camphorrock::tagged_string<Tag>& name) const noexcept
    {
        return std::hash<std::string>()(name.str());
    }
};
