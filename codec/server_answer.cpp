#include "codec/server_answer.hpp"

#include "codec/json_reader.hpp"
#include "codec/json_text.hpp"
#include "codec/json_writer.hpp"

namespace camphorrock
{

template<class Fields, is_type<server_answer> Answer>
void describe(Fields& fields, Answer& it)
{
    fields.required("run", it.run);
    fields.required("server", it.server);
    fields.required("service", it.service);
    fields.required("key", it.key);
    fields.required("epoch", it.since);
    fields.required("id", it.id);
    fields.required("tag", it.tag);
    fields.required("attempt", it.attempt);
    fields.required("padding_bytes", it.padding_bytes);
}

namespace
{

constexpr const char* padding_member = "padding";

} // namespace

std::string write_server_answer(const server_answer& answer)
{
    Json::Value value = write_described(answer);
    value[padding_member] = std::string(answer.padding_bytes, 'x');
    return write_json(value);
}

std::optional<server_answer> read_server_answer(const std::string& text)
{
    return value_or_handle(
        [&]() -> result<std::optional<server_answer>>
        {
            BOOST_LEAF_AUTO(value, parse_json(text));
            std::size_t padding = value.isObject() && value[padding_member].isString()
                                      ? value[padding_member].asString().size()
                                      : 0;
            value.removeMember(padding_member);
            BOOST_LEAF_AUTO(answer, read_described<server_answer>(value));
            bool is_whole = answer.padding_bytes == padding;
            return is_whole ? std::optional<server_answer>(answer) : std::nullopt;
        },
        [](const error&) -> std::optional<server_answer> { return std::nullopt; });
}

} // namespace camphorrock
