#pragma once

// The stored form of a journal batch: a MessagePack array [writer, entries...], in which
// each entry is an array that begins with its kind. See docs/proofs/once.md for its size
// and speed compared with JSON.

#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "core/once/journal_batch.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorrock
{

std::string write_journal_batch(const journal_batch& batch);

// Fails with invalid_argument if the bytes are not a journal batch. Never throws.
result<journal_batch> read_journal_batch(std::string_view bytes);

// Returns "/camphorrock/journal/SHARD/ROUTER/NUMBER". The number has 16 hex digits, so
// that the store's order of a router's keys is the order of its batches.
std::string
journal_key(const shard_id& shard, const instance_id& router, std::uint64_t number);

// Returns the prefix of the keys of all batches of the shard.
std::string journal_prefix(const shard_id& shard);

// Returns the key's router and number in a stored_batch without entries. Fails with
// invalid_argument if the text is not a journal key of this shard.
result<stored_batch> parse_journal_key(const shard_id& shard, std::string_view key);

} // namespace camphorrock
