#include "codec/crash_codec.hpp"

#include "codec/array_reader.hpp"
#include "codec/named_message.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr const char* request_name = "trial";
constexpr const char* reply_name = "trial_reply";
constexpr const char* report_name = "trial_end";
constexpr const char* noted_name = "trial_noted";
constexpr const char* suspects_name = "suspects";
constexpr const char* verdicts_name = "verdicts";
constexpr std::size_t fields_per_row = 2;
constexpr std::size_t max_message_bytes = std::size_t{4} * 1024;
constexpr std::uint64_t max_crashes = 1000000;

nlohmann::json to_json(const trial_request& it)
{
    return nlohmann::json::array({request_name,
                                  it.id.value,
                                  it.service.str(),
                                  it.request.whole,
                                  it.request.path,
                                  it.known.whole,
                                  it.known.path,
                                  it.server.str(),
                                  it.lifetime.count(),
                                  it.reply_to.str()});
}

nlohmann::json to_json(const trial_reply& it)
{
    return nlohmann::json::array(
        {reply_name, it.id.value, trial_answer_names.name(it.answer)});
}

nlohmann::json to_json(const trial_report& it)
{
    return nlohmann::json::array({report_name,
                                  it.id.value,
                                  it.service.str(),
                                  it.request.whole,
                                  it.request.path,
                                  trial_end_names.name(it.end),
                                  it.server.str(),
                                  it.started_ago.count(),
                                  it.ended_ago.count(),
                                  it.reply_to.str()});
}

nlohmann::json to_json(const trial_noted& it)
{
    return nlohmann::json::array({noted_name, it.id.value});
}

nlohmann::json to_json(const suspects_notice& it)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const suspect_row& row : it.rows)
    {
        rows.push_back(row.fingerprint);
        rows.push_back(row.crashes);
    }
    return nlohmann::json::array({suspects_name, std::move(rows)});
}

nlohmann::json to_json(const verdicts_request& it)
{
    return nlohmann::json::array({verdicts_name, it.reply_to.str()});
}

unsigned read_crashes(array_reader& reader)
{
    return static_cast<unsigned>(std::min(reader.number(), max_crashes));
}

request_fingerprint read_fingerprint(array_reader& reader)
{
    request_fingerprint made;
    made.whole = reader.number();
    made.path = reader.number();
    return made;
}

std::optional<crash_message> read_request(array_reader& reader)
{
    trial_request it;
    it.id = trial_id{reader.number()};
    it.service = service_name(reader.text());
    it.request = read_fingerprint(reader);
    it.known.whole = read_crashes(reader);
    it.known.path = read_crashes(reader);
    it.server = server_id(reader.text());
    it.lifetime = reader.time();
    it.reply_to = endpoint(reader.text());
    return it;
}

std::optional<crash_message> read_reply(array_reader& reader)
{
    trial_reply it;
    it.id = trial_id{reader.number()};
    const std::optional<trial_answer> answer = trial_answer_names.value(reader.text());
    if (!answer)
    {
        return std::nullopt;
    }
    it.answer = *answer;
    return it;
}

std::optional<crash_message> read_report(array_reader& reader)
{
    trial_report it;
    it.id = trial_id{reader.number()};
    it.service = service_name(reader.text());
    it.request = read_fingerprint(reader);
    const std::optional<trial_end> end = trial_end_names.value(reader.text());
    if (!end)
    {
        return std::nullopt;
    }
    it.end = *end;
    it.server = server_id(reader.text());
    it.started_ago = reader.time();
    it.ended_ago = reader.time();
    it.reply_to = endpoint(reader.text());
    return it;
}

std::optional<crash_message> read_suspects(const nlohmann::json& rows)
{
    const bool has_rows = rows.is_array() && rows.size() % fields_per_row == 0 &&
                          rows.size() / fields_per_row <= max_suspects_in_notice;
    if (!has_rows)
    {
        return std::nullopt;
    }
    suspects_notice made;
    array_reader reader(rows, 0, max_crash_message_time);
    for (std::size_t n = 0; n < rows.size() / fields_per_row; ++n)
    {
        suspect_row& row = made.rows.emplace_back();
        row.fingerprint = reader.number();
        row.crashes = read_crashes(reader);
    }
    return reader.is_complete() ? std::optional<crash_message>(made) : std::nullopt;
}

std::optional<crash_message> read_message(const std::string& name, array_reader& reader)
{
    if (name == request_name)
    {
        return read_request(reader);
    }
    if (name == reply_name)
    {
        return read_reply(reader);
    }
    if (name == report_name)
    {
        return read_report(reader);
    }
    if (name == noted_name)
    {
        return trial_noted{trial_id{reader.number()}};
    }
    if (name == verdicts_name)
    {
        return verdicts_request{endpoint(reader.text())};
    }
    return std::nullopt;
}

} // namespace

std::string encode_crash_message(const crash_message& message)
{
    return std::visit([](const auto& it) { return encode_named_message(to_json(it)); },
                      message);
}

std::optional<crash_message> decode_crash_message(std::string_view bytes)
{
    const auto value = decode_named_message(bytes, max_message_bytes);
    if (!value)
    {
        return std::nullopt;
    }
    const auto& name = (*value)[0].get_ref<const std::string&>();
    if (name == suspects_name)
    {
        return value->size() == 2 ? read_suspects((*value)[1]) : std::nullopt;
    }
    array_reader reader(*value, 1, max_crash_message_time);
    std::optional<crash_message> made = read_message(name, reader);
    return reader.is_complete() ? made : std::nullopt;
}

} // namespace camphorrock
