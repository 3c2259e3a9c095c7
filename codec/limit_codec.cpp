#include "codec/limit_codec.hpp"

#include "codec/array_reader.hpp"
#include "codec/named_message.hpp"

namespace camphorrock
{
namespace
{

constexpr const char* request_name = "token";
constexpr const char* reply_name = "token_reply";
constexpr const char* unused_name = "token_unused";
constexpr const char* spent_name = "token_spent";
constexpr const char* limits_name = "limits";
constexpr const char* warm_ups_name = "warm_ups";
constexpr std::size_t fields_per_limit = 5;
constexpr std::size_t fields_per_warm_up = 3;
constexpr std::size_t max_message_bytes = std::size_t{16} * 1024;

nlohmann::json to_json(const token_request& it)
{
    return nlohmann::json::array({request_name,
                                  it.id.value,
                                  it.server.str(),
                                  it.rate,
                                  it.max_wait.count(),
                                  it.reply_to.str()});
}

nlohmann::json to_json(const token_reply& it)
{
    return nlohmann::json::array(
        {reply_name, it.id.value, it.is_granted, it.wait.count()});
}

nlohmann::json to_json(const token_unused& it)
{
    return nlohmann::json::array({unused_name, it.server.str()});
}

nlohmann::json to_json(const token_spent& it)
{
    return nlohmann::json::array({spent_name, it.server.str(), it.rate});
}

nlohmann::json to_json(const limits_notice& it)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const aged_limit& limit : it.limits)
    {
        rows.push_back(limit.server.str());
        rows.push_back(limit.incarnation.started_ms);
        rows.push_back(limit.rate);
        rows.push_back(limit.has_ended);
        rows.push_back(limit.age.count());
    }
    return nlohmann::json::array({limits_name, std::move(rows)});
}

nlohmann::json to_json(const warm_ups_notice& it)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const cold_server& cold : it.servers)
    {
        rows.push_back(cold.server.str());
        rows.push_back(cold.incarnation.started_ms);
        rows.push_back(cold.left.count());
    }
    return nlohmann::json::array({warm_ups_name, std::move(rows)});
}

// True if the message holds rows of that many fields, and not too many of them.
bool has_rows(const nlohmann::json& value, std::size_t fields)
{
    return value.size() == 2 && value[1].is_array() && value[1].size() % fields == 0 &&
           value[1].size() / fields <= max_limits_in_notice;
}

std::optional<limit_message> read_warm_ups(const nlohmann::json& value)
{
    if (!has_rows(value, fields_per_warm_up))
    {
        return std::nullopt;
    }
    warm_ups_notice made;
    array_reader reader(value[1], 0, max_limit_message_time);
    for (std::size_t n = 0; n < value[1].size() / fields_per_warm_up; ++n)
    {
        cold_server& cold = made.servers.emplace_back();
        cold.server = server_id(reader.text());
        cold.incarnation.started_ms = reader.number();
        cold.left = reader.time();
    }
    return reader.is_complete() ? std::optional<limit_message>(made) : std::nullopt;
}

std::optional<limit_message> read_notice(const nlohmann::json& value)
{
    if (!has_rows(value, fields_per_limit))
    {
        return std::nullopt;
    }
    limits_notice made;
    array_reader reader(value[1], 0, max_limit_message_time);
    for (std::size_t n = 0; n < value[1].size() / fields_per_limit; ++n)
    {
        aged_limit& limit = made.limits.emplace_back();
        limit.server = server_id(reader.text());
        limit.incarnation.started_ms = reader.number();
        limit.rate = reader.rate();
        limit.has_ended = reader.flag();
        limit.age = reader.time();
    }
    return reader.is_complete() ? std::optional<limit_message>(made) : std::nullopt;
}

std::optional<limit_message> read_message(const std::string& name,
                                          const nlohmann::json& value)
{
    array_reader reader(value, 1, max_limit_message_time);
    limit_message made;
    if (name == request_name)
    {
        token_request it;
        it.id = token_id{reader.number()};
        it.server = server_id(reader.text());
        it.rate = reader.rate();
        it.max_wait = reader.time();
        it.reply_to = endpoint(reader.text());
        if (it.rate <= 0)
        {
            return std::nullopt;
        }
        made = it;
    }
    else if (name == reply_name)
    {
        token_reply it;
        it.id = token_id{reader.number()};
        it.is_granted = reader.flag();
        it.wait = reader.time();
        made = it;
    }
    else if (name == unused_name)
    {
        made = token_unused{server_id(reader.text())};
    }
    else if (name == spent_name)
    {
        token_spent it;
        it.server = server_id(reader.text());
        it.rate = reader.rate();
        if (it.rate <= 0)
        {
            return std::nullopt;
        }
        made = it;
    }
    else
    {
        return std::nullopt;
    }
    return reader.is_complete() ? std::optional(made) : std::nullopt;
}

} // namespace

std::string encode_limit_message(const limit_message& message)
{
    return std::visit([](const auto& it) { return encode_named_message(to_json(it)); },
                      message);
}

std::optional<limit_message> decode_limit_message(std::string_view bytes)
{
    const auto value = decode_named_message(bytes, max_message_bytes);
    if (!value)
    {
        return std::nullopt;
    }
    const auto& name = (*value)[0].get_ref<const std::string&>();
    if (name == limits_name)
    {
        return read_notice(*value);
    }
    return name == warm_ups_name ? read_warm_ups(*value) : read_message(name, *value);
}

} // namespace camphorrock
