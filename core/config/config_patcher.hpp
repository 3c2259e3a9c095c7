#pragma once

// Decides how one submitted patch ends. The program carries out the action that each call
// returns and reports what came of it by the next call:
//
//     config_patcher patcher({id, base}, {});
//     patch_action next = patcher.start();           // read the document
//     next = patcher.on_read(&document);             // swap, or answer
//     next = patcher.on_swap(store_end::unknown); // read back
//
// A swap writes next_configuration() by compare-and-swap at the revision that was read.
//
// Rules: a patch id that the document lists is answered with the version that it made and
// is not applied again. Another base than the document's version is stale. A swap without
// an answer is settled by reading back: if the id is listed it took effect; if the
// version went on without it, it never can; if the version is still the base, the same
// swap is sent again, of which at most one can succeed.

#include "core/base/store_end.hpp"
#include "core/config/configuration.hpp"

#include <optional>

namespace camphorrock
{

struct patch_request
{
    patch_id id;
    config_version base;
};

enum class patch_step
{
    read,   // read the document from the store
    swap,   // merge the patch and write the result by compare-and-swap
    answer, // tell the operator
};

enum class patch_end
{
    accepted,    // `version` is the version that the patch made
    stale,       // `version` is the current one; the patch has no effect
    id_reused,   // another patch had this id and made `version`
    unavailable, // the store could not be used; this submission has no effect (an earlier
                 // one of the same id that ended in `unknown` still may)
    unknown,     // it may have taken effect, or is in the store but not known to a
                 // majority of voters: submit it again, with the same id and base
};

std::string_view name_of(patch_end value);

struct patch_action
{
    patch_step step = patch_step::read;
    patch_end end = patch_end::unknown; // for `answer`
    config_version version;             // for `answer`

    bool operator==(const patch_action&) const = default;
};

struct config_patcher_options
{
    unsigned max_swaps = 5; // further ones end in `unavailable` or `unknown`
};

class config_patcher
{
public:
    config_patcher(patch_request request, config_patcher_options options)
        : request_(std::move(request)), options_(options)
    {
    }

    patch_action start();

    // `current` is the document that the store has, null where it could not be read.
    patch_action on_read(const configuration* current);

    patch_action on_swap(store_end end);

private:
    patch_action answer(patch_end end, config_version version = {}) const;
    patch_action give_up() const;

    patch_request request_;
    config_patcher_options options_;
    unsigned swaps_ = 0;
    bool may_have_applied_ = false; // a swap ended without an answer
};

// The document that an accepted patch makes of `merged`: the version after the base, and
// the patch listed last, within max_applied_patches.
configuration next_configuration(const configuration& current,
                                 configuration merged,
                                 const patch_request& request);

} // namespace camphorrock
