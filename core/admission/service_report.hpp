#pragma once

// How the server dealt with a started request, as the router observed it.

#include "core/base/time.hpp"

#include <string_view>

namespace camphorrock
{

enum class answer_kind
{
    good,      // a complete answer that is no server error
    failed,    // a server error, or the exchange broke
    shed,      // the server said that it is overloaded and did no work
    timed_out, // no answer before the deadline; the exchange was cancelled
};

// "good", "failed", "shed", "timed_out".
std::string_view name_of(answer_kind value);

struct service_report
{
    answer_kind answer = answer_kind::good;
    duration service_time{}; // from the start to the answer
};

} // namespace camphorrock
