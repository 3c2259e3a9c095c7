#pragma once

// What a queue asks its owner to do.

#include "core/admission/ticket.hpp"
#include "core/base/time.hpp"

#include <string_view>
#include <variant>
#include <vector>

namespace camphorrock
{

enum class refusal_reason
{
    deadline,   // it could not finish before its deadline
    queue_full, // the queue's memory budget is used up
    no_slots,   // the server takes no work: it is leaving or unknown
};

// "deadline", "queue_full", "no_slots".
std::string_view name_of(refusal_reason value);

// Send the request to the server now.
struct start_request
{
    ticket id;

    bool operator==(const start_request&) const = default;
};

// Answer the request now, as not run. It was never started.
struct refuse_request
{
    ticket id;
    refusal_reason reason = refusal_reason::deadline;
    duration retry_after{}; // jittered; when a retry is likely to be admitted

    bool operator==(const refuse_request&) const = default;
};

using queue_action = std::variant<start_request, refuse_request>;

// Actions in the order in which they are to be carried out.
using queue_actions = std::vector<queue_action>;

} // namespace camphorrock
