#pragma once

// The parameters and results of the fake platform's key-value engine.

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
    std::uint64_t lease = 0;   // id; 0: no lease
};

// The keys from `first`, inclusive, to `end`, exclusive. If `end` is empty, the range is
// `first` alone; if it is a single zero byte, the range has no end.
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

// A change. For a deletion, only the key and mod_revision of the entry are set.
struct kv_event
{
    kv_event_type type = kv_event_type::put;
    kv_entry entry;
};

enum class kv_compare_target
{
    mod_revision,
    create_revision,
    version,
};

// A condition: the `target` number of the key equals `expected`. All numbers of an absent
// key are 0.
struct kv_compare
{
    std::string key;
    kv_compare_target target = kv_compare_target::mod_revision;
    std::uint64_t expected = 0;
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
    kv_range keys;           // for put: `first` is the key
    std::string value;       // for put
    std::uint64_t lease = 0; // for put; 0: no lease
};

struct kv_operation_result
{
    kv_operation_type type = kv_operation_type::range;
    std::vector<kv_entry> entries; // for range
    std::uint64_t deleted = 0;     // for deletion: number of keys
};

struct kv_transaction
{
    std::vector<kv_compare> compares; // on_success is chosen if all of them are met
    std::vector<kv_operation> on_success;
    std::vector<kv_operation> on_failure;
};

struct kv_transaction_result
{
    bool is_lease_missing = false; // no effect: a put names a lease that does not exist
    bool succeeded = false;        // on_success was chosen
    std::uint64_t revision = 0;    // of the store after the transaction
    std::vector<kv_operation_result> results; // one for each operation, in order
};

} // namespace camphorrock::fakes
