#include "gateway/warm_up_report.hpp"

namespace camphorrock
{

void report_warm_up_transitions(gateway_state& state, gateway_log& log, time_point now)
{
    const std::vector<warm_up_transition> transitions =
        state.take_warm_up_transitions(now);
    for (const warm_up_transition& it : transitions)
    {
        log.warm_up_changed(it);
    }
    log.cold_servers(state.warm_ups().cold_count(now));
}

bool note_warm_up(gateway_state& state,
                  gateway_log& log,
                  const server_id& server,
                  const server_incarnation& incarnation,
                  const warm_up_statement& said,
                  std::string_view source,
                  time_point now)
{
    const warm_up_change change = state.observe_warm_up(server, incarnation, said, now);
    switch (change)
    {
    case warm_up_change::none:
        return false;
    case warm_up_change::unreadable:
        log.warm_up_unreadable(server, source);
        return false;
    case warm_up_change::changed:
        break;
    }
    report_warm_up_transitions(state, log, now);
    return true;
}

} // namespace camphorrock
