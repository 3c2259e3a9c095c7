#include "load/history_summary.hpp"

#include <cstdio>

namespace camphorrock
{

std::string to_string(const history_summary& summary)
{
    char buf[512];
    std::snprintf(buf,
                  sizeof buf,
                  "attempts=%zu answered=%zu ran=%zu not_run=%zu unknown=%zu ids=%zu "
                  "runs=%zu grants=%zu patches=%zu accepted_patches=%zu "
                  "router_versions=%zu denied_after_other_attempt=%zu",
                  summary.attempts,
                  summary.answered,
                  summary.ran,
                  summary.not_run,
                  summary.unknown,
                  summary.ids,
                  summary.runs,
                  summary.grants,
                  summary.patches,
                  summary.accepted_patches,
                  summary.router_versions,
                  summary.denied_after_other_attempt);
    return buf;
}

} // namespace camphorrock
