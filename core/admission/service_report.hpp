#pragma once

// The end of a started request, as observed by the router.

#include "core/base/time.hpp"

#include <string_view>

namespace camphorrock
{

enum class answer_kind
{
    good,      // a complete answer other than a server error
    failed,    // a server error, or the exchange failed
    shed,      // the server answered that it is overloaded and has not run the request
    timed_out, // no answer before the deadline; the exchange was cancelled
};

// "good", "failed", "shed", "timed_out".
std::string_view name_of(answer_kind value);

struct service_report
{
    answer_kind answer = answer_kind::good;
    duration service_time{}; // from the start of the request to its end
};

} // namespace camphorrock
