#pragma once

// The state machine that applies one submitted patch. The program carries out the action
// that each call returns and reports its result by the next call:
//
//     config_patcher patcher({id, base}, {});
//     patch_action next = patcher.start();         // read the document
//     next = patcher.on_read(&document);           // swap, or answer
//     next = patcher.on_swap(store_end::unknown);  // read back
//
// A swap writes next_configuration() by compare-and-swap at the revision that was read.
//
// Rules:
//   - A patch whose id the document lists is not applied again; the answer is the version
//     that it made.
//   - A patch whose base is not the document's version is stale.
//   - A swap without an answer is resolved by reading the document back. If the id is
//     listed, the swap took effect. If the version has increased and the id is not
//     listed, the swap can never take effect. If the version is still the base, the same
//     swap is sent again; at most one of these swaps can succeed.

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
    answer, // send `end` and `version` to the operator
};

enum class patch_end
{
    accepted,    // `version` is the version that the patch made
    stale,       // `version` is the current one; the patch has no effect
    id_reused,   // another patch had this id and made `version`
    unavailable, // the store failed; this submission has no effect, but an earlier one of
                 // the same id that ended in `unknown` may still take effect
    unknown,     // the patch may have taken effect, or is in the store without a majority
                 // of voters knowing it: submit it again, with the same id and base
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
    unsigned max_swaps = 5; // after these, the patch ends in `unavailable` or `unknown`
};

class config_patcher
{
public:
    config_patcher(patch_request request, config_patcher_options options)
        : request_(std::move(request)), options_(options)
    {
    }

    patch_action start();

    // `current` is the document in the store, or null if it could not be read.
    patch_action on_read(const configuration* current);

    patch_action on_swap(store_end end);

private:
    patch_action answer(patch_end end, config_version version = {}) const;

    // Answers `unavailable`, or `unknown` if a swap may have taken effect.
    patch_action answer_failure() const;

    patch_request request_;
    config_patcher_options options_;
    unsigned swaps_ = 0;
    bool may_have_applied_ = false; // some swap ended without an answer
};

// Returns the document that an accepted patch writes: `merged` with the version after
// that of `current` and with the request appended to the patches of `current`. If these
// exceed max_applied_patches, the oldest one is dropped.
configuration next_configuration(const configuration& current,
                                 configuration merged,
                                 const patch_request& request);

} // namespace camphorrock
