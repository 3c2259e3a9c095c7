#pragma once

// JSON merge patch (RFC 7396), and its use on the configuration.

#include "core/base/result.hpp"
#include "core/config/config_patcher.hpp"

#include <json/value.h>

namespace camphorrock
{

// RFC 7396's MergePatch: an object is merged member by member, null removes a member, and
// anything else replaces the target. O(size of both).
Json::Value merge_patch(Json::Value target, const Json::Value& patch);

// The next document. Fails with invalid_argument and the path at fault where the patch is
// not an object, touches "version" or "patches", names an unknown field, or leads to a
// configuration that breaks its rules.
result<configuration> patched_configuration(const configuration& current,
                                            const patch_request& request,
                                            const Json::Value& patch);

} // namespace camphorrock
