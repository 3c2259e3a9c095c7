#pragma once

// The JSON messages of etcd's v3 protocol, as the fake platform reads and writes them.

#include "fakes/platform/kv_types.hpp"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorrock::fakes
{

struct watch_request
{
    kv_range keys;
    std::uint64_t start_revision = 0; // 0: begins with the next change
};

// Return nullopt if the body is not such a request.
std::optional<kv_range> read_range_request(const Json::Value& body);
std::optional<kv_transaction> read_transaction(const Json::Value& body);
std::optional<watch_request> read_watch_request(const Json::Value& body);

Json::Value make_range_answer(const std::vector<kv_entry>& entries,
                              std::uint64_t revision);
Json::Value make_transaction_answer(const kv_transaction_result& result);
Json::Value make_lease_answer(std::uint64_t lease,
                              std::uint64_t ttl, // seconds
                              std::uint64_t revision);
Json::Value make_watch_created(std::uint64_t revision);
Json::Value make_watch_compacted(std::uint64_t revision,
                                 std::uint64_t first_kept_revision);
Json::Value make_watch_events(const std::vector<kv_event>& events,
                              std::uint64_t revision);
Json::Value make_header(std::uint64_t revision);

// Returns an error in the protocol's form, {"error": TEXT, "code": N}; `code` is one of
// gRPC's status codes.
Json::Value make_error(int code, const std::string& text);

} // namespace camphorrock::fakes
