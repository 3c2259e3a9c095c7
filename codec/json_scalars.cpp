#include "codec/json_scalars.hpp"

#include "core/base/enum_names.hpp"

#include <charconv>
#include <limits>
#include <optional>

namespace camphorrock
{
namespace
{

constexpr enum_names<server_condition, 3> condition_names{{{
    {server_condition::unknown, "unknown"},
    {server_condition::alive, "alive"},
    {server_condition::lost, "lost"},
}}};

constexpr std::uint64_t max_exact_in_double = std::uint64_t(1) << 53;
constexpr int decimal_base = 10;
constexpr int hash_base = 16;
constexpr std::size_t hash_digits = 16;

std::optional<std::uint64_t> parse_unsigned(const std::string& text, int base)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data(), end, value, base);
    bool is_whole = !text.empty() && ec == std::errc() && rest == end;
    return is_whole ? std::optional<std::uint64_t>(value) : std::nullopt;
}

std::optional<std::uint64_t> as_unsigned(const Json::Value& value)
{
    switch (value.type())
    {
    case Json::uintValue:
        return value.asUInt64();
    case Json::intValue:
        return value.isUInt64() ? std::optional(value.asUInt64()) : std::nullopt;
    case Json::stringValue:
        return parse_unsigned(value.asString(), decimal_base);
    default:
        return std::nullopt;
    }
}

} // namespace

void json_fault::set(const std::string& path, const std::string& what)
{
    if (!is_set())
    {
        text_ = path + ": " + what;
    }
}

void read_scalar(const Json::Value& value,
                 const std::string& path,
                 bool& out,
                 json_fault& fault)
{
    if (!value.isBool())
    {
        return fault.set(path, "must be true or false");
    }
    out = value.asBool();
}

void read_scalar(const Json::Value& value,
                 const std::string& path,
                 std::uint64_t& out,
                 json_fault& fault)
{
    std::optional<std::uint64_t> number = as_unsigned(value);
    if (!number)
    {
        return fault.set(path, "must be a whole number from 0 to 2^64-1");
    }
    out = *number;
}

void read_scalar(const Json::Value& value,
                 const std::string& path,
                 unsigned& out,
                 json_fault& fault)
{
    std::uint64_t number = 0;
    read_scalar(value, path, number, fault);
    if (number > std::numeric_limits<unsigned>::max())
    {
        return fault.set(path, "is too large");
    }
    out = static_cast<unsigned>(number);
}

void read_scalar(const Json::Value& value,
                 const std::string& path,
                 std::string& out,
                 json_fault& fault)
{
    if (!value.isString())
    {
        return fault.set(path, "must be a string");
    }
    out = value.asString();
}

void read_scalar(const Json::Value& value,
                 const std::string& path,
                 duration& out,
                 json_fault& fault)
{
    std::uint64_t number = 0;
    read_scalar(value, path, number, fault);
    constexpr auto most =
        std::chrono::duration_cast<milliseconds>(duration::max()).count();
    if (number > static_cast<std::uint64_t>(most))
    {
        return fault.set(path, "is too large");
    }
    out = milliseconds(number);
}

void read_scalar(const Json::Value& value,
                 const std::string& path,
                 key_hash& out,
                 json_fault& fault)
{
    std::string text;
    read_scalar(value, path, text, fault);
    std::optional<std::uint64_t> number = parse_unsigned(text, hash_base);
    if (!number || text.size() != hash_digits)
    {
        return fault.set(path, "must be 16 hex digits");
    }
    out = key_hash{*number};
}

void read_scalar(const Json::Value& value,
                 const std::string& path,
                 hash_range& out,
                 json_fault& fault)
{
    std::string text;
    read_scalar(value, path, text, fault);
    std::optional<hash_range> range = parse_hash_range(text);
    if (!range)
    {
        return fault.set(path, "must be a range of hashes, as 16 hex digits twice");
    }
    out = *range;
}

void read_scalar(const Json::Value& value,
                 const std::string& path,
                 epoch& out,
                 json_fault& fault)
{
    read_scalar(value, path, out.value, fault);
}

void read_scalar(const Json::Value& value,
                 const std::string& path,
                 config_version& out,
                 json_fault& fault)
{
    read_scalar(value, path, out.value, fault);
}

void read_scalar(const Json::Value& value,
                 const std::string& path,
                 outcome& out,
                 json_fault& fault)
{
    std::string text;
    read_scalar(value, path, text, fault);
    std::optional<outcome> parsed = parse_outcome(text);
    if (!parsed)
    {
        return fault.set(path, "must be \"ran\", \"not-run\" or \"unknown\"");
    }
    out = *parsed;
}

Json::Value write_scalar(bool value)
{
    return value;
}

Json::Value write_scalar(unsigned value)
{
    return value;
}

Json::Value write_scalar(std::uint64_t value)
{
    if (value > max_exact_in_double)
    {
        return std::to_string(value);
    }
    return Json::UInt64(value);
}

Json::Value write_scalar(const std::string& value)
{
    return value;
}

Json::Value write_scalar(duration value)
{
    auto in_ms = std::chrono::duration_cast<milliseconds>(value);
    return write_scalar(static_cast<std::uint64_t>(in_ms.count()));
}

Json::Value write_scalar(key_hash value)
{
    return to_string(hash_range{value, value}).substr(0, hash_digits);
}

Json::Value write_scalar(const hash_range& value)
{
    return to_string(value);
}

Json::Value write_scalar(epoch value)
{
    return write_scalar(value.value);
}

Json::Value write_scalar(config_version value)
{
    return write_scalar(value.value);
}

Json::Value write_scalar(outcome value)
{
    return std::string(name_of(value));
}

void read_scalar(const Json::Value& value,
                 const std::string& path,
                 server_condition& out,
                 json_fault& fault)
{
    std::string name;
    read_scalar(value, path, name, fault);
    std::optional<server_condition> read = condition_names.value(name);
    if (!read && !fault.is_set())
    {
        fault.set(path, "must be unknown, alive or lost");
        return;
    }
    out = read.value_or(server_condition::unknown);
}

Json::Value write_scalar(server_condition value)
{
    return std::string(condition_names.name(value));
}

} // namespace camphorrock
