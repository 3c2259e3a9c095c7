#pragma once

// The keys of a shard in the store. docs/DESIGN.md, "Key space", lists all keys.

#include "core/base/names.hpp"

#include <string>

namespace camphorrock
{

constexpr const char* shard_prefix = "/camphorrock/shard/";

inline std::string record_key(const shard_id& shard)
{
    return shard_prefix + shard.str() + "/record";
}

inline std::string lease_key(const shard_id& shard)
{
    return shard_prefix + shard.str() + "/lease";
}

// Each service has exactly one shard, which has the service's name.
inline shard_id shard_of(const service_name& service)
{
    return shard_id(service.str());
}

} // namespace camphorrock
