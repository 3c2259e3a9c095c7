#include "router/once_agent.hpp"

namespace camphorrock
{

void once_agent::submit(const live_request_ptr& request)
{
    request->refuse(refusal::journal_unavailable, "no journal is kept yet");
}

} // namespace camphorrock
