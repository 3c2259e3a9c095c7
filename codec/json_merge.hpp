#pragma once

// JSON merge patch (RFC 7396), and its application to the configuration.

#include "core/base/result.hpp"
#include "core/config/config_patcher.hpp"

#include <json/value.h>

namespace camphorrock
{

// Implements MergePatch of RFC 7396: an object is merged member by member, null removes a
// member, and any other value replaces the target. O(size of both).
Json::Value merge_patch(Json::Value target, const Json::Value& patch);

// Returns `current` with the patch applied, as the next version. Fails with
// invalid_argument and the path of the field if the patch is not an object, contains
// "version" or "patches", names an unknown field, or results in an invalid configuration.
result<configuration> patched_configuration(const configuration& current,
                                            const patch_request& request,
                                            const Json::Value& patch);

} // namespace camphorrock
