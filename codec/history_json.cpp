#include "codec/history_json.hpp"

#include "codec/json_reader.hpp"
#include "codec/json_text.hpp"
#include "codec/json_writer.hpp"

#include <array>

namespace camphorrock
{

template<class Fields, class Record>
requires is_type<Record, grant_record> || is_type<Record, revoke_record>
void describe(Fields& fields, Record& it)
{
    fields.required("at_us", it.at);
    if constexpr (is_type<Record, grant_record>)
    {
        fields.required("until_us", it.until);
    }
    fields.required("server", it.server);
    fields.required("shard", it.shard);
    fields.required("partition", it.partition);
    fields.required("epoch", it.since);
}

template<class Fields, is_type<run_start_record> Record>
void describe(Fields& fields, Record& it)
{
    fields.required("at_us", it.at);
    fields.required("run", it.run);
    fields.required("server", it.server);
    fields.required("service", it.service);
    fields.required("key", it.key);
    fields.required("hash", it.hash);
    fields.required("epoch", it.since);
    fields.required("checks_epoch", it.checks_epoch);
    fields.required("id", it.id);
    fields.required("tag", it.tag);
    fields.required("attempt", it.attempt);
}

template<class Fields, is_type<run_end_record> Record>
void describe(Fields& fields, Record& it)
{
    fields.required("at_us", it.at);
    fields.required("run", it.run);
    fields.required("server", it.server);
}

template<class Fields, is_type<attempt_record> Record>
void describe(Fields& fields, Record& it)
{
    fields.required("start_us", it.start);
    fields.required("end_us", it.end);
    fields.required("caller", it.caller);
    fields.required("router", it.router);
    fields.required("service", it.service);
    fields.required("key", it.key);
    fields.required("id", it.id);
    fields.required("tag", it.tag);
    fields.required("attempt", it.attempt);
    fields.required("ended", it.ended);
    fields.required("status", it.status);
    fields.required("outcome", it.outcome);
    fields.required("problem", it.problem);
    fields.required("answer_run", it.answer_run);
    fields.required("answer_key", it.answer_key);
    fields.required("answer_tag", it.answer_tag);
    fields.required("answer_id", it.answer_id);
    fields.required("answer_whole", it.is_answer_complete);
}

template<class Fields, is_type<patch_record> Record>
void describe(Fields& fields, Record& it)
{
    fields.required("start_us", it.start);
    fields.required("end_us", it.end);
    fields.required("operator", it.caller);
    fields.required("assigner", it.assigner);
    fields.required("id", it.id);
    fields.required("base", it.base);
    fields.required("ended", it.ended);
    fields.required("version", it.version);
}

template<class Fields, is_type<router_config_record> Record>
void describe(Fields& fields, Record& it)
{
    fields.required("start_us", it.start);
    fields.required("end_us", it.end);
    fields.required("router", it.router);
    fields.required("process", it.process);
    fields.required("version", it.version);
    fields.required("is_serving", it.is_serving);
}

template<class Fields, is_type<listed_patch> Row>
void describe(Fields& fields, Row& it)
{
    fields.required("id", it.id);
    fields.required("version", it.version);
}

template<class Fields, is_type<config_document_record> Record>
void describe(Fields& fields, Record& it)
{
    fields.required("start_us", it.start);
    fields.required("end_us", it.end);
    fields.required("version", it.version);
    fields.required("patches", it.patches);
}

namespace
{

// The names of the kinds, in the order of the alternatives of history_entry.
constexpr std::array<const char*, std::variant_size_v<history_entry>> kind_names{
    "grant",
    "revoke",
    "run_start",
    "run_end",
    "attempt",
    "patch",
    "router_config",
    "document"};

constexpr const char* kind_member = "kind";

template<std::size_t Index>
result<void>
read_kind(const std::string& kind, const Json::Value& value, history_entry& out)
{
    if constexpr (Index < kind_names.size())
    {
        if (kind != kind_names[Index])
        {
            return read_kind<Index + 1>(kind, value, out);
        }
        using record = std::variant_alternative_t<Index, history_entry>;
        BOOST_LEAF_AUTO(entry, read_described<record>(value));
        out.emplace<Index>(std::move(entry));
        return {};
    }
    else
    {
        return fail(error_code::invalid_argument,
                    "the history record has an unknown kind");
    }
}

} // namespace

std::string write_history_line(const history_entry& entry)
{
    Json::Value value =
        std::visit([](const auto& it) { return write_described(it); }, entry);
    value[kind_member] = kind_names[entry.index()];
    return write_json(value);
}

result<history_entry> read_history_line(std::string_view line)
{
    BOOST_LEAF_AUTO(value, parse_json(line));
    if (!value.isObject() || !value[kind_member].isString())
    {
        return fail(error_code::invalid_argument,
                    "the history record is not an object with a string \"kind\"");
    }
    std::string kind = value[kind_member].asString();
    value.removeMember(kind_member);
    history_entry entry;
    BOOST_LEAF_CHECK(read_kind<0>(kind, value, entry));
    return entry;
}

} // namespace camphorrock
