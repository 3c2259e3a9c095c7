#pragma once

// What the fake platform's key-value engine takes and gives.

#include <cstdint>
#include <string>
#include <vector>

namespace camphorrock::fakes
{

struct kv_entry
{
    std::string key;
    std::string value;
    std::uint64_t create_revision = 0;
    std::uint64_t mod_revision = 0;
    std::uint64_t version = 0; // writes since the key was created
    std::uint64_t lease = 0;   // 0: none
};

// The keys from `first` up to, not including, `end`. An empty `end` means `first` alone;
// an `end` of one zero byte means no end.
struct kv_range
{
    std::string first;
    std::string end;

    bool contains(const std::string& key) const;
};

enum class kv_event_type
{
    put,
    deletion,
};

// A change. For a deletion, the entry has the key and the revision alone.
struct kv_event
{
    kv_event_type type = kv_event_type::put;
    kv_entry entry;
};

enum class kv_target
{
    mod_revision,
    create_revision,
    version,
};

// True if the key's number equals `number`; an absent key has 0 in each.
struct kv_compare
{
    std::string key;
    kv_target target = kv_target::mod_revision;
    std::uint64_t number = 0;
};

enum class kv_operation_type
{
    range,
    put,
    deletion,
};

struct kv_operation
{
    kv_operation_type type = kv_operation_type::range;
    kv_range keys; // for put: the key alone
    std::string value;
    std::uint64_t lease = 0;
};

struct kv_operation_result
{
    kv_operation_type type = kv_operation_type::range;
    std::vector<kv_entry> entries; // for range
    std::uint64_t deleted = 0;     // for deletion
};

struct kv_transaction
{
    std::vector<kv_compare> compares; // all must hold
    std::vector<kv_operation> on_success;
    std::vector<kv_operation> on_failure;
};

struct kv_transaction_result
{
    bool is_lease_missing = false; // a put named a lease that does not exist: no effect
    bool succeeded = false;
    std::uint64_t revision = 0; // of the store afterwards
    std::vector<kv_operation_result> results;
};

} // namespace camphorrock::fakes
