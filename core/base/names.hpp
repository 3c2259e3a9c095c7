#pragma once

// The types of names and ids. Each kind has its own type; see tagged_string.hpp.

#include "core/base/tagged_string.hpp"

namespace camphorrock
{

// A service as operators declare it; the first path segment of a caller's request.
using service_name = tagged_string<struct service_name_tag>;

// A shard: a set of servers and partitions of one service, described by one record.
using shard_id = tagged_string<struct shard_id_tag>;

// A server that holds state for keys.
using server_id = tagged_string<struct server_id_tag>;

// A process of this system (router or assigner) on an instance.
using instance_id = tagged_string<struct instance_id_tag>;

// A caller (tenant), as given in the header Camphorrock-Caller.
using caller_name = tagged_string<struct caller_name_tag>;

// The id of a request that must not run twice, as given in the header Idempotency-Key.
using request_id = tagged_string<struct request_id_tag>;

using data_centre = tagged_string<struct data_centre_tag>;

// The id of an operator's patch.
using patch_id = tagged_string<struct patch_id_tag>;

// An address and port, as in "127.0.0.1:8080".
using endpoint = tagged_string<struct endpoint_tag>;

} // namespace camphorrock
