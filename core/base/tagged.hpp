#pragma once

// A string that is a name of one kind only, so that a server's name cannot be passed
// where a service's name is expected. Declare a kind with an empty tag:
//
//     using server_id = tagged<struct server_id_tag>;
//
// Values compare and hash as their text. The empty text is the value "none".

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace camphorrock
{

template<class Tag>
class tagged
{
public:
    tagged() = default;

    explicit tagged(std::string text) : text_(std::move(text)) {}

    const std::string& str() const
    {
        return text_;
    }

    bool empty() const
    {
        return text_.empty();
    }

    auto operator<=>(const tagged&) const = default;

private:
    std::string text_;
};

} // namespace camphorrock

template<class Tag>
struct std::hash<camphorrock::tagged<Tag>>
{
    std::size_t operator()(const camphorrock::tagged<Tag>& name) const noexcept
    {
        return std::hash<std::string>()(name.str());
    }
};
