#include "load/history_summary.hpp"

#include <cstdio>

namespace camphorrock
{

std::string to_string(const history_summary& it)
{
    char buf[512];
    std::snprintf(buf,
                  sizeof buf,
                  "attempts=%zu answered=%zu ran=%zu not_run=%zu unknown=%zu ids=%zu "
                  "runs=%zu grants=%zu patches=%zu accepted_patches=%zu "
                  "router_versions=%zu denied_after_other_attempt=%zu",
                  it.attempts,
                  it.answered,
                  it.ran,
                  it.not_run,
                  it.unknown,
                  it.ids,
                  it.runs,
                  it.grants,
                  it.patches,
                  it.accepted_patches,
                  it.router_versions,
                  it.denied_after_other_attempt);
    return buf;
}

} // namespace camphorrock
