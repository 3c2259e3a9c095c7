#pragma once

// The form in which a journal batch stands in the store: MessagePack, an array
// [writer, entries...] in which each entry is an array that begins with its kind. See
// docs/proofs/once.md for its size and speed beside JSON.

#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "core/once/journal_batch.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorrock
{

std::string write_journal_batch(const journal_batch& batch);

// Fails with invalid_argument for any other text; never throws, whatever the bytes.
result<journal_batch> read_journal_batch(std::string_view bytes);

// "/camphorrock/journal/SHARD/ROUTER/NUMBER", the number as 16 hex digits, so that the
// store's order of keys is the order of batches.
std::string
journal_key(const shard_id& shard, const instance_id& router, std::uint64_t number);

// All batches of a shard are below this prefix.
std::string journal_prefix(const shard_id& shard);

// A key's router and number, as a stored_batch without entries. Fails with
// invalid_argument for another shard's key or another text.
result<stored_batch> parse_journal_key(const shard_id& shard, std::string_view key);

} // namespace camphorrock
