#pragma once

// The phase of a request that is relayed: the one thing that it waits for, or whether it
// is in flight. Nothing but what belongs to the present phase may go on with a request.
//
//     if (progress.enter(request_phase::room_wait))
//         timer = loop.after(span, [&, n = progress.number()]
//                            { if (progress.is_current(n)) try_send(); });
//
// Invariants:
//   - a request is in one phase at a time, and entering a phase ends the one before;
//   - a phase that has ended is never current again, also if the request enters another
//     one of the same kind: each has a number of its own;
//   - while an attempt is in flight, no phase is entered before attempt_ended() is
//   called;
//   - nothing follows `ended`.

#include <cstdint>
#include <string_view>

namespace camphorrock
{

enum class request_phase
{
    choosing,          // a server is being chosen; lasts for one call
    owner_wait,        // for an owner of the key
    reservation_wait,  // for the count of the requests at the owner
    room_wait,         // until the servers have room
    links_wait,        // until it is known whether servers can be reached
    token_wait,        // for the decision on a token for a server with a rate limit
    token_due_wait,    // until the token may be used
    permission_wait,   // for the decision on an attempt of a suspect
    suspect_wait,      // before the next question for such a permission
    crash_check,       // whether the server of the last attempt has crashed
    in_flight_server,  // an attempt is in flight at a server
    in_flight_gateway, // the request was forwarded to another gateway
    ended,             // it is answered, or its client has left
};

// "choosing", "owner_wait", ...
std::string_view name_of(request_phase phase);

class request_progress
{
public:
    request_phase phase() const
    {
        return phase_;
    }

    // The latest phase before the present one that was not `choosing`; `choosing` if
    // there was none.
    request_phase previous() const
    {
        return previous_;
    }

    // Of the present phase; each one has another number.
    std::uint64_t number() const
    {
        return number_;
    }

    // True if the phase with that number has not been left.
    bool is_current(std::uint64_t number) const
    {
        return number == number_;
    }

    bool is_ended() const
    {
        return phase_ == request_phase::ended;
    }

    // True while an attempt is in flight, wherever.
    bool is_in_flight() const;

    // Leaves the present phase for `to`. Returns false, without effect, if an attempt is
    // in flight or the request has ended.
    bool enter(request_phase to);

    // The attempt in flight has ended or was cancelled: a server may be chosen again. No
    // effect if there is none.
    void attempt_ended();

private:
    void move_to(request_phase to);

    request_phase phase_ = request_phase::choosing;
    request_phase previous_ = request_phase::choosing;
    std::uint64_t number_ = 0;
};

} // namespace camphorrock
