#include "fakes/platform/kv_json.hpp"

#include "core/base/enum_names.hpp"
#include "store/base64.hpp"
#include "store/etcd_json.hpp"

#include <utility>

namespace camphorrock::fakes
{
namespace
{

constexpr enum_names<kv_compare_target, 3> targets{{{
    {kv_compare_target::mod_revision, "MOD"},
    {kv_compare_target::create_revision, "CREATE"},
    {kv_compare_target::version, "VERSION"},
}}};

constexpr enum_names<kv_compare_target, 3> target_members{{{
    {kv_compare_target::mod_revision, "mod_revision"},
    {kv_compare_target::create_revision, "create_revision"},
    {kv_compare_target::version, "version"},
}}};

std::optional<kv_compare> read_compare(const Json::Value& value)
{
    if (!value.isObject() || value.get("result", "EQUAL") != "EQUAL" ||
        !value["target"].isString())
    {
        return std::nullopt;
    }
    const std::optional<std::string> key = read_bytes(value, "key");
    const std::optional<kv_compare_target> target =
        targets.value(value["target"].asString());
    if (!key || !target)
    {
        return std::nullopt;
    }
    const std::string member(target_members.name(*target));
    const std::optional<std::uint64_t> expected = read_uint64(value, member.c_str());
    if (!expected)
    {
        return std::nullopt;
    }
    return kv_compare{*key, *target, *expected};
}

std::optional<kv_operation> read_put(const Json::Value& value)
{
    const std::optional<std::string> key = read_bytes(value, "key");
    const std::optional<std::string> bytes = read_bytes(value, "value");
    const std::optional<std::uint64_t> lease = read_uint64(value, "lease");
    if (!key || !bytes || !lease)
    {
        return std::nullopt;
    }
    return kv_operation{kv_operation_type::put, {*key, ""}, *bytes, *lease};
}

std::optional<kv_operation> read_range_operation(kv_operation_type type,
                                                 const Json::Value& value)
{
    std::optional<kv_range> keys = read_range_request(value);
    if (!keys)
    {
        return std::nullopt;
    }
    return kv_operation{type, std::move(*keys), "", 0};
}

std::optional<kv_operation> read_operation(const Json::Value& value)
{
    if (!value.isObject())
    {
        return std::nullopt;
    }
    if (value["request_put"].isObject())
    {
        return read_put(value["request_put"]);
    }
    if (value["request_delete_range"].isObject())
    {
        return read_range_operation(kv_operation_type::deletion,
                                    value["request_delete_range"]);
    }
    if (value["request_range"].isObject())
    {
        return read_range_operation(kv_operation_type::range, value["request_range"]);
    }
    return std::nullopt;
}

// Reads each element of an array, which may be absent. Returns false if an element is
// malformed.
template<class Row, class Read>
bool read_elements(const Json::Value& array, std::vector<Row>& to, Read read)
{
    if (!array.isNull() && !array.isArray())
    {
        return false;
    }
    for (const Json::Value& it : array)
    {
        std::optional<Row> row = read(it);
        if (!row)
        {
            return false;
        }
        to.push_back(std::move(*row));
    }
    return true;
}

Json::Value to_json(const kv_entry& entry)
{
    Json::Value made(Json::objectValue);
    made["key"] = to_base64(entry.key);
    made["mod_revision"] = std::to_string(entry.mod_revision);
    if (entry.version == 0)
    {
        return made;
    }
    made["create_revision"] = std::to_string(entry.create_revision);
    made["version"] = std::to_string(entry.version);
    made["value"] = to_base64(entry.value);
    if (entry.lease != 0)
    {
        made["lease"] = std::to_string(entry.lease);
    }
    return made;
}

void add_entries(Json::Value& to, const std::vector<kv_entry>& entries)
{
    to["count"] = std::to_string(entries.size());
    for (const kv_entry& it : entries)
    {
        to["kvs"].append(to_json(it));
    }
}

Json::Value to_json(const kv_operation_result& result)
{
    Json::Value made(Json::objectValue);
    switch (result.type)
    {
    case kv_operation_type::range:
        add_entries(made["response_range"], result.entries);
        break;
    case kv_operation_type::put:
        made["response_put"] = Json::Value(Json::objectValue);
        break;
    case kv_operation_type::deletion:
        made["response_delete_range"]["deleted"] = std::to_string(result.deleted);
        break;
    }
    return made;
}

Json::Value make_watch_message(std::uint64_t revision)
{
    Json::Value made(Json::objectValue);
    made["result"]["header"] = make_header(revision)["header"];
    return made;
}

} // namespace

std::optional<kv_range> read_range_request(const Json::Value& body)
{
    if (!body.isObject())
    {
        return std::nullopt;
    }
    const std::optional<std::string> first = read_bytes(body, "key");
    const std::optional<std::string> end = read_bytes(body, "range_end");
    if (!first || first->empty() || !end)
    {
        return std::nullopt;
    }
    return kv_range{*first, *end};
}

std::optional<kv_transaction> read_transaction(const Json::Value& body)
{
    kv_transaction made;
    if (!body.isObject() ||
        !read_elements(body["compare"], made.compares, read_compare) ||
        !read_elements(body["success"], made.on_success, read_operation) ||
        !read_elements(body["failure"], made.on_failure, read_operation))
    {
        return std::nullopt;
    }
    return made;
}

std::optional<watch_request> read_watch_request(const Json::Value& body)
{
    if (!body.isObject() || !body["create_request"].isObject())
    {
        return std::nullopt;
    }
    const Json::Value& create = body["create_request"];
    std::optional<kv_range> keys = read_range_request(create);
    const std::optional<std::uint64_t> start = read_uint64(create, "start_revision");
    if (!keys || !start)
    {
        return std::nullopt;
    }
    return watch_request{std::move(*keys), *start};
}

Json::Value make_header(std::uint64_t revision)
{
    Json::Value made(Json::objectValue);
    made["header"]["revision"] = std::to_string(revision);
    return made;
}

Json::Value make_range_answer(const std::vector<kv_entry>& entries,
                              std::uint64_t revision)
{
    Json::Value made = make_header(revision);
    add_entries(made, entries);
    return made;
}

Json::Value make_transaction_answer(const kv_transaction_result& result)
{
    Json::Value made = make_header(result.revision);
    if (result.succeeded)
    {
        made["succeeded"] = true;
    }
    for (const kv_operation_result& it : result.results)
    {
        made["responses"].append(to_json(it));
    }
    return made;
}

Json::Value
make_lease_answer(std::uint64_t lease, std::uint64_t ttl, std::uint64_t revision)
{
    Json::Value made = make_header(revision);
    made["ID"] = std::to_string(lease);
    made["TTL"] = std::to_string(ttl);
    return made;
}

Json::Value make_watch_created(std::uint64_t revision)
{
    Json::Value made = make_watch_message(revision);
    made["result"]["created"] = true;
    return made;
}

Json::Value make_watch_compacted(std::uint64_t revision,
                                 std::uint64_t first_kept_revision)
{
    Json::Value made = make_watch_message(revision);
    made["result"]["canceled"] = true;
    made["result"]["compact_revision"] = std::to_string(first_kept_revision);
    return made;
}

Json::Value make_watch_events(const std::vector<kv_event>& events, std::uint64_t revision)
{
    Json::Value made = make_watch_message(revision);
    for (const kv_event& it : events)
    {
        Json::Value event(Json::objectValue);
        event["kv"] = to_json(it.entry);
        if (it.type == kv_event_type::deletion)
        {
            event["type"] = "DELETE";
        }
        made["result"]["events"].append(event);
    }
    return made;
}

Json::Value make_error(int code, const std::string& text)
{
    Json::Value made(Json::objectValue);
    made["error"] = text;
    made["code"] = code;
    return made;
}

} // namespace camphorrock::fakes
