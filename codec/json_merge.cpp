#include "codec/json_merge.hpp"

#include "codec/configuration_json.hpp"

#include <utility>

namespace camphorrock
{

Json::Value merge_patch(Json::Value target, const Json::Value& patch)
{
    if (!patch.isObject())
    {
        return patch;
    }
    if (!target.isObject())
    {
        target = Json::Value(Json::objectValue);
    }
    for (const std::string& it : patch.getMemberNames())
    {
        if (patch[it].isNull())
        {
            target.removeMember(it);
            continue;
        }
        target[it] = merge_patch(target.get(it, Json::Value()), patch[it]);
    }
    return target;
}

result<configuration> patched_configuration(const configuration& current,
                                            const patch_request& request,
                                            const Json::Value& patch)
{
    if (!patch.isObject())
    {
        return fail(error_code::invalid_argument, "patch: must be an object");
    }
    for (const char* it : {"version", "patches"})
    {
        if (patch.isMember(it))
        {
            return fail(error_code::invalid_argument,
                        std::string(it) + ": is not changed by a patch");
        }
    }
    Json::Value merged = merge_patch(write_configuration(current), patch);
    BOOST_LEAF_AUTO(config, read_configuration(merged));
    return next_configuration(current, std::move(config), request);
}

} // namespace camphorrock
