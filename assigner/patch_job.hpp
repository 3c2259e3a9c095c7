#pragma once

// Applies one operator's patch to the configuration in the store, as config_patcher
// decides.
//
//     patch_job::start(context, {id, base}, patch, [](patch_result ended) { ... });
//
// The job owns itself until it has called the callback, exactly once.

#include "assigner/assigner_context.hpp"
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
    std::string fault; // empty, or why the patch is invalid; then nothing was changed
};

class patch_job : public std::enable_shared_from_this<patch_job>
{
public:
    using callback = std::function<void(const patch_result&)>;

    static void start(assigner_context& context,
                      patch_request request,
                      Json::Value patch,
                      callback done);

private:
    patch_job(assigner_context& context,
              patch_request request,
              Json::Value patch,
              callback done);
    void carry_out(const patch_action& action);
    void answer(const patch_action& action);
    void read_configuration();
    void swap_configuration();
    void finish(patch_result ended);

    assigner_context& context_;
    patch_request request_;
    Json::Value patch_;
    callback done_;
    config_patcher patcher_;
    configuration current_;   // as last read from the store
    store_revision revision_; // of current_ in the store
};

} // namespace camphorrock
