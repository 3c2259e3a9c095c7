#pragma once

// One operator's patch on its way into the store. Carries out what config_patcher
// decides.
//
//     patch_job::start(parts, {id, base}, patch, [](patch_result ended) { ... });
//
// Keeps itself alive until it has called back, once.

#include "assigner/assigner_parts.hpp"
#include "core/config/config_patcher.hpp"

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace camphorrock
{

struct patch_result
{
    patch_end end = patch_end::unavailable;
    config_version version;
    std::string fault; // not empty: the patch itself is wrong; nothing was changed
};

class patch_job : public std::enable_shared_from_this<patch_job>
{
public:
    using callback = std::function<void(const patch_result&)>;

    static void
    start(assigner_parts& parts, patch_request request, Json::Value patch, callback done);

private:
    patch_job(assigner_parts& parts,
              patch_request request,
              Json::Value patch,
              callback done);
    void carry_out(const patch_action& action);
    void answer(const patch_action& action);
    void read();
    void swap();
    void finish(patch_result result);

    assigner_parts& parts_;
    patch_request request_;
    Json::Value patch_;
    callback done_;
    config_patcher patcher_;
    configuration current_;
    store_revision revision_;
};

} // namespace camphorrock
