#include "router/kept_answer.hpp"

#include <charconv>

namespace camphorrock
{
namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view name_end = ": ";

// Removes the next line from `rest` and returns it; nullopt if there is no line end.
std::optional<std::string_view> take_line(std::string_view& rest)
{
    std::size_t end = rest.find(line_end);
    if (end == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end + line_end.size());
    return line;
}

std::optional<int> read_status(std::string_view line)
{
    int status = 0;
    auto [rest, ec] = std::from_chars(line.data(), line.data() + line.size(), status);
    bool is_whole = ec == std::errc() && rest == line.data() + line.size();
    return is_whole ? std::optional<int>(status) : std::nullopt;
}

} // namespace

std::string write_kept_answer(const http_response& answer)
{
    std::string bytes = std::to_string(answer.status);
    bytes += line_end;
    for (const http_header& it : answer.headers.all())
    {
        bytes.append(it.name).append(name_end).append(it.value).append(line_end);
    }
    bytes += line_end;
    bytes += answer.body;
    return bytes;
}

std::optional<http_response> read_kept_answer(std::string_view bytes)
{
    std::optional<std::string_view> first = take_line(bytes);
    std::optional<int> status = first ? read_status(*first) : std::nullopt;
    if (!status)
    {
        return std::nullopt;
    }
    http_response answer;
    answer.status = *status;
    while (std::optional<std::string_view> line = take_line(bytes))
    {
        if (line->empty())
        {
            answer.body = std::string(bytes);
            return answer;
        }
        std::size_t colon = line->find(name_end);
        if (colon == std::string_view::npos)
        {
            return std::nullopt;
        }
        answer.headers.add(std::string(line->substr(0, colon)),
                           std::string(line->substr(colon + name_end.size())));
    }
    return std::nullopt;
}

} // namespace camphorrock
