#pragma once

// One broken promise found in a history.

#include <string>
#include <string_view>

namespace camphorrock
{

enum class violation_kind
{
    two_owners,         // two servers owned one hash at one moment
    run_not_owned,      // a server that checks epochs ran a request without a grant
    two_runs,           // one id ran twice
    ran_after_denial,   // told not-run, but the attempt ran, before or after
    foreign_answer,     // an answer that belongs to another request
    cut_answer,         // told ran, but the answer was not whole
    never_ran,          // told ran, but no server has run it
    no_outcome,         // an answer without a valid Camphorrock-Outcome
    version_fell,       // a router process served with a lower version than before
    old_version,        // a router served with a version that was replaced too long ago
    two_on_one_base,    // two patches were accepted on one base
    patch_lost,         // an accepted patch is not in the document later
    patch_twice,        // one patch id made two versions
    patch_after_denial, // told stale, but the patch is in the document
};

// "two-owners", ...
std::string_view name_of(violation_kind value);

struct violation
{
    violation_kind kind = violation_kind::two_owners;
    std::string subject; // the hash, id or attempt concerned
    std::string text;    // what was recorded

    bool operator==(const violation&) const = default;
};

// One line for people.
std::string to_string(const violation& found);

} // namespace camphorrock
