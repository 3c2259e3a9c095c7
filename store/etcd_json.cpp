#include "store/etcd_json.hpp"

#include "core/base/number_text.hpp"
#include "store/base64.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr unsigned char highest_byte = 0xff;

std::string to_text(std::uint64_t value)
{
    return std::to_string(value);
}

// Makes a transaction that performs `success` if the key's revision is `expected`, and
// reads the key otherwise.
Json::Value
make_txn(const std::string& key, store_revision expected, const Json::Value& success)
{
    Json::Value compare(Json::objectValue);
    compare["key"] = to_base64(key);
    compare["target"] = "MOD";
    compare["result"] = "EQUAL";
    compare["mod_revision"] = to_text(expected.value);
    Json::Value read(Json::objectValue);
    read["request_range"] = make_range(key);
    Json::Value made(Json::objectValue);
    made["compare"].append(compare);
    made["success"].append(success);
    made["failure"].append(read);
    return made;
}

std::optional<store_entry> read_entry(const Json::Value& kv)
{
    if (!kv.isObject())
    {
        return std::nullopt;
    }
    const std::optional<std::string> key = read_bytes(kv, "key");
    const std::optional<std::string> value = read_bytes(kv, "value");
    const std::optional<std::uint64_t> revision = read_uint64(kv, "mod_revision");
    if (!key || !value || !revision)
    {
        return std::nullopt;
    }
    return store_entry{*key, *value, {*revision}};
}

std::optional<store_revision> read_header(const Json::Value& body)
{
    if (!body.isObject() || !body["header"].isObject())
    {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> value = read_uint64(body["header"], "revision");
    if (!value)
    {
        return std::nullopt;
    }
    return store_revision{*value};
}

std::optional<std::vector<store_entry>> read_entries(const Json::Value& kvs)
{
    std::vector<store_entry> made;
    if (!kvs.isNull() && !kvs.isArray())
    {
        return std::nullopt;
    }
    for (const Json::Value& it : kvs)
    {
        std::optional<store_entry> entry = read_entry(it);
        if (!entry)
        {
            return std::nullopt;
        }
        made.push_back(std::move(*entry));
    }
    return made;
}

// Reads the key's entry from the answer to a transaction whose comparison failed.
std::optional<store_write> read_conflict(const Json::Value& responses)
{
    if (!responses.isArray() || responses.empty() || !responses[0].isObject() ||
        !responses[0]["response_range"].isObject())
    {
        return std::nullopt;
    }
    const std::optional<std::vector<store_entry>> entries =
        read_entries(responses[0]["response_range"]["kvs"]);
    if (!entries)
    {
        return std::nullopt;
    }
    store_write made;
    made.end = store_end::conflict;
    if (!entries->empty())
    {
        made.current = entries->front();
    }
    return made;
}

bool is_true(const Json::Value& object, const char* member)
{
    return object[member].isBool() && object[member].asBool();
}

// Adds one event of a watch. Returns false if the event is malformed.
bool add_change(watch_message& to, const Json::Value& event)
{
    std::optional<store_entry> entry =
        event.isObject() ? read_entry(event["kv"]) : std::nullopt;
    if (!entry)
    {
        return false;
    }
    to.last = std::max(to.last, entry->revision);
    if (event["type"] == "DELETE")
    {
        entry->value.clear();
        entry->revision = {};
    }
    to.changes.push_back(std::move(*entry));
    return true;
}

} // namespace

std::string prefix_end(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == highest_byte)
    {
        prefix.pop_back();
    }
    if (prefix.empty())
    {
        return std::string(1, '\0'); // in the protocol: a range without an end
    }
    ++prefix.back();
    return prefix;
}

std::optional<std::uint64_t> read_uint64(const Json::Value& object, const char* member)
{
    const Json::Value& it = object[member];
    if (it.isNull())
    {
        return 0;
    }
    if (it.isString())
    {
        return parse_number<std::uint64_t>(it.asString());
    }
    if (it.isUInt64())
    {
        return it.asUInt64();
    }
    return std::nullopt;
}

std::optional<std::string> read_bytes(const Json::Value& object, const char* member)
{
    const Json::Value& it = object[member];
    if (it.isNull())
    {
        return std::string();
    }
    if (!it.isString())
    {
        return std::nullopt;
    }
    return parse_base64(it.asString());
}

Json::Value make_range(const std::string& key)
{
    Json::Value made(Json::objectValue);
    made["key"] = to_base64(key);
    return made;
}

Json::Value make_prefix_range(const std::string& prefix)
{
    Json::Value made = make_range(prefix);
    made["range_end"] = to_base64(prefix_end(prefix));
    return made;
}

Json::Value make_page_range(const std::string& prefix, const store_page& page)
{
    Json::Value made = make_prefix_range(prefix);
    if (!page.after.empty())
    {
        made["key"] = to_base64(page.after + '\0'); // the smallest key after `after`
    }
    if (page.limit != 0)
    {
        made["limit"] = to_text(page.limit);
    }
    return made;
}

Json::Value make_swap(const std::string& key,
                      store_revision expected,
                      const std::string& value,
                      store_lease lease)
{
    Json::Value put(Json::objectValue);
    put["key"] = to_base64(key);
    put["value"] = to_base64(value);
    if (lease.value != 0)
    {
        put["lease"] = to_text(lease.value);
    }
    Json::Value success(Json::objectValue);
    success["request_put"] = put;
    return make_txn(key, expected, success);
}

Json::Value make_delete(const std::string& key, store_revision expected)
{
    Json::Value success(Json::objectValue);
    success["request_delete_range"] = make_range(key);
    return make_txn(key, expected, success);
}

Json::Value make_lease_grant(duration time_to_live)
{
    const auto ttl = std::chrono::ceil<seconds>(time_to_live).count();
    Json::Value made(Json::objectValue);
    made["TTL"] = std::to_string(std::max<std::int64_t>(1, ttl));
    return made;
}

Json::Value make_lease_call(store_lease lease)
{
    Json::Value made(Json::objectValue);
    made["ID"] = to_text(lease.value);
    return made;
}

Json::Value make_watch(const std::string& prefix, store_revision after)
{
    Json::Value create = make_prefix_range(prefix);
    create["start_revision"] = to_text(after.value + 1);
    Json::Value made(Json::objectValue);
    made["create_request"] = create;
    return made;
}

std::optional<store_read> read_range(const Json::Value& body)
{
    const std::optional<store_revision> at = read_header(body);
    if (!at)
    {
        return std::nullopt;
    }
    std::optional<std::vector<store_entry>> entries = read_entries(body["kvs"]);
    if (!entries)
    {
        return std::nullopt;
    }
    return store_read{store_end::done, std::move(*entries), *at, is_true(body, "more")};
}

std::optional<store_write> read_txn(const Json::Value& body)
{
    const std::optional<store_revision> at = read_header(body);
    if (!at)
    {
        return std::nullopt;
    }
    if (!is_true(body, "succeeded"))
    {
        return read_conflict(body["responses"]);
    }
    store_write made;
    made.end = store_end::done;
    made.revision = *at;
    return made;
}

std::optional<store_lease_grant> read_lease(const Json::Value& body)
{
    if (!body.isObject())
    {
        return std::nullopt;
    }
    // A keep-alive is answered by a message of a stream, which wraps the answer in
    // "result".
    const Json::Value& content = body["result"].isObject() ? body["result"] : body;
    const std::optional<std::uint64_t> id = read_uint64(content, "ID");
    const std::optional<std::uint64_t> ttl = read_uint64(content, "TTL");
    if (!id || *id == 0 || !ttl)
    {
        return std::nullopt;
    }
    store_lease_grant made;
    made.end = *ttl > 0 ? store_end::done : store_end::failed;
    made.lease = {*id};
    made.time_to_live = seconds(static_cast<std::int64_t>(*ttl));
    return made;
}

std::optional<watch_message> read_watch(const Json::Value& body)
{
    if (!body.isObject() || !body["result"].isObject())
    {
        return std::nullopt;
    }
    const Json::Value& content = body["result"];
    watch_message made;
    made.is_created = is_true(content, "created");
    made.is_canceled = is_true(content, "canceled");
    const Json::Value& events = content["events"];
    if (!events.isNull() && !events.isArray())
    {
        return std::nullopt;
    }
    for (const Json::Value& it : events)
    {
        if (!add_change(made, it))
        {
            return std::nullopt;
        }
    }
    return made;
}

} // namespace camphorrock
