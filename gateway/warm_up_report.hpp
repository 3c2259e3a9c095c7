#pragma once

// What an answer of a server says of its warm-up: notes it and records what has changed.

#include "gateway/gateway_log.hpp"
#include "gateway/gateway_state.hpp"

#include <string_view>

namespace camphorrock
{

// Records which servers have turned cold or warm since the last call.
void report_warm_up_transitions(gateway_state& state, gateway_log& log, time_point now);

// Notes the statement and records the change. `source` names what was answered: a
// request's id, or the kind of an order. Returns true if the server turned cold or warm.
bool note_warm_up(gateway_state& state,
                  gateway_log& log,
                  const server_id& server,
                  const server_incarnation& incarnation,
                  const warm_up_statement& said,
                  std::string_view source,
                  time_point now);

} // namespace camphorrock
