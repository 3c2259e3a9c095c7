#pragma once

// Converts to and from the JSON messages of etcd's v3 protocol. docs/PLATFORM.md lists
// the subset of the protocol that is used.

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

// Returns the exclusive end of the range of all keys that begin with `prefix`: "\0" if
// the range has no end, as in the protocol.
std::string prefix_end(std::string prefix);

// Reads a 64-bit integer, which the protocol writes as a decimal string; a JSON number is
// accepted too. An absent member is 0, since the protocol omits members with that value.
// Returns nullopt for any other value.
std::optional<std::uint64_t> read_uint64(const Json::Value& object, const char* member);

// Returns the bytes of a base64 member, or "" if it is absent. Returns nullopt for any
// other value.
std::optional<std::string> read_bytes(const Json::Value& object, const char* member);

// The bodies of requests. A page range asks for the keys of `page`; a swap and a delete
// take effect only if the key's revision is `expected`, and return the key's entry
// otherwise. A watch delivers the changes after the revision `after`.
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

// Return nullopt if the body is not an answer to such a request.
std::optional<store_read> read_range(const Json::Value& body);
std::optional<store_write> read_txn(const Json::Value& body);
std::optional<store_lease_grant> read_lease(const Json::Value& body);

// One message of a watch's stream.
struct watch_message
{
    bool is_created = false;  // the store acknowledges the watch
    bool is_canceled = false; // the store has compacted the revisions asked for
    std::vector<store_entry> changes;
    store_revision last; // the highest revision among the changes; 0: no changes
};

// Returns nullopt if the body is not a message of a watch.
std::optional<watch_message> read_watch(const Json::Value& body);

} // namespace camphorrock
