#pragma once

// A violation of one of the system's guarantees, found in a history.

#include <string>
#include <string_view>

namespace camphorrock
{

enum class violation_kind
{
    two_owners,         // two servers owned one hash at the same time
    run_not_owned,      // a server that checks epochs ran a request without a grant
    two_runs,           // one id ran twice
    ran_after_denial,   // outcome not-run, but the attempt ran, before or after
    foreign_answer,     // the answer belongs to another request
    cut_answer,         // outcome ran, but the answer is incomplete
    never_ran,          // outcome ran, but no server ran the request
    no_outcome,         // the answer has no valid Camphorrock-Outcome
    version_fell,       // a router process served with a lower version than before
    old_version,        // a router served with a version replaced too long ago
    two_on_one_base,    // two patches were accepted on one base version
    patch_lost,         // an accepted patch is missing in a later document
    patch_twice,        // one patch id created two versions
    patch_after_denial, // answered stale, but the patch is in the document
};

// Returns "two-owners", ...
std::string_view name_of(violation_kind value);

struct violation
{
    violation_kind kind = violation_kind::two_owners;
    std::string subject; // the hash, id or attempt concerned
    std::string text;    // the records that show the violation

    bool operator==(const violation&) const = default;
};

// Returns one line for people.
std::string to_string(const violation& found);

} // namespace camphorrock
