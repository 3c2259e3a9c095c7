#include "core/gateway/relay/request_progress.hpp"

#include "core/base/enum_names.hpp"

namespace camphorrock
{
namespace
{

constexpr enum_names<request_phase, 13> names{{{
    {request_phase::choosing, "choosing"},
    {request_phase::owner_wait, "owner_wait"},
    {request_phase::reservation_wait, "reservation_wait"},
    {request_phase::room_wait, "room_wait"},
    {request_phase::links_wait, "links_wait"},
    {request_phase::token_wait, "token_wait"},
    {request_phase::token_due_wait, "token_due_wait"},
    {request_phase::permission_wait, "permission_wait"},
    {request_phase::suspect_wait, "suspect_wait"},
    {request_phase::crash_check, "crash_check"},
    {request_phase::in_flight_server, "in_flight_server"},
    {request_phase::in_flight_gateway, "in_flight_gateway"},
    {request_phase::ended, "ended"},
}}};

} // namespace

std::string_view name_of(request_phase phase)
{
    return names.name(phase);
}

bool request_progress::is_in_flight() const
{
    return phase_ == request_phase::in_flight_server ||
           phase_ == request_phase::in_flight_gateway;
}

bool request_progress::enter(request_phase to)
{
    if (is_in_flight() || is_ended())
    {
        return false;
    }
    move_to(to);
    return true;
}

void request_progress::attempt_ended()
{
    if (is_in_flight())
    {
        move_to(request_phase::choosing);
    }
}

void request_progress::move_to(request_phase to)
{
    previous_ = phase_ == request_phase::choosing ? previous_ : phase_;
    phase_ = to;
    ++number_;
}

} // namespace camphorrock
