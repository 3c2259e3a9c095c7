#pragma once

// The actions that a queue asks its owner to carry out.

#include "core/admission/ticket.hpp"
#include "core/base/time.hpp"

#include <string_view>
#include <variant>
#include <vector>

namespace camphorrock
{

enum class refusal_reason
{
    deadline,   // the request could not finish before its deadline
    queue_full, // the maximum number of requests is waiting
    no_slots,   // the server has no slots: it is leaving or unknown
};

// "deadline", "queue_full", "no_slots".
std::string_view name_of(refusal_reason value);

// Send the request to the server now.
struct start_request
{
    ticket id;

    bool operator==(const start_request&) const = default;
};

// Answer the request now, with the outcome that it was not run. It was never started.
struct refuse_request
{
    ticket id;
    refusal_reason reason = refusal_reason::deadline;
    duration retry_after{}; // when a retry is likely to be admitted, from now; jittered

    bool operator==(const refuse_request&) const = default;
};

using queue_action = std::variant<start_request, refuse_request>;

// To be carried out in this order.
using queue_actions = std::vector<queue_action>;

} // namespace camphorrock
