#pragma once

// The JSON messages of etcd's v3 protocol that the client sends and reads. Pure
// conversions; see docs/PLATFORM.md for the subset.

#include "core/base/time.hpp"
#include "store/store_client.hpp"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorrock
{

namespace etcd_target
{

inline constexpr const char* range = "/v3/kv/range";
inline constexpr const char* txn = "/v3/kv/txn";
inline constexpr const char* lease_grant = "/v3/lease/grant";
inline constexpr const char* lease_keepalive = "/v3/lease/keepalive";
inline constexpr const char* lease_revoke = "/v3/lease/revoke";
inline constexpr const char* watch = "/v3/watch";

} // namespace etcd_target

// The end of the range of all keys that begin with `prefix`.
std::string prefix_end(std::string prefix);

// 64-bit integers travel as decimal strings; a number is read as well. An absent member
// is 0, as the protocol leaves out members of that value. None for anything else.
std::optional<std::uint64_t> read_uint64(const Json::Value& object, const char* member);

// The bytes of a base64 member; "" where it is absent. None for anything else.
std::optional<std::string> read_bytes(const Json::Value& object, const char* member);

Json::Value make_range(const std::string& key);
Json::Value make_prefix_range(const std::string& prefix);
Json::Value make_page_range(const std::string& prefix, const store_page& page);
Json::Value make_swap(const std::string& key,
                      store_revision expected,
                      const std::string& value,
                      store_lease lease);
Json::Value make_delete(const std::string& key, store_revision expected);
Json::Value make_lease_grant(duration time_to_live);
Json::Value make_lease_call(store_lease lease);
Json::Value make_watch(const std::string& prefix, store_revision after);

// None where the body is not an answer to such a request.
std::optional<store_read> read_range(const Json::Value& body);
std::optional<store_write> read_txn(const Json::Value& body);
std::optional<store_lease_grant> read_lease(const Json::Value& body);

// One message of a watch.
struct watch_message
{
    bool is_created = false;
    bool is_canceled = false; // the revisions asked for are gone
    std::vector<store_entry> changes;
    store_revision last; // the highest revision among the changes; 0 without any
};

std::optional<watch_message> read_watch(const Json::Value& body);

} // namespace camphorrock
