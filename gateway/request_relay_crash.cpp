// The part of request_relay for requests under which servers crash: permissions for the
// attempts of suspects, and what their ends say.

#include "gateway/request_relay.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// Between two questions for a permission.
constexpr duration permission_retry_delay = milliseconds(20);
// A good request is cleared by its first answer; waiting longer helps its client little.
constexpr duration max_permission_wait = milliseconds(300);

} // namespace

const request_fingerprint& request_relay::fingerprint()
{
    if (!fingerprint_)
    {
        request_parts parts;
        parts.method = request_.method;
        parts.host = request_.headers.find("Host").value_or("");
        parts.target = request_.target;
        parts.key = request_.headers.find(context_.codec.names().shard_key).value_or("");
        parts.body = request_.content();
        fingerprint_ = fingerprint_of(parts);
    }
    return *fingerprint_;
}

crash_standing request_relay::standing()
{
    const bool is_known = context_.crashes != nullptr && context_.crashes->has_suspects();
    return is_known ? context_.crashes->standing_of(fingerprint())
                    : crash_standing::clear;
}

bool request_relay::is_permitted(const server_id& server) const
{
    return permission_ && permission_->granted && permission_->to.server == server;
}

// True if the attempt that is about to be sent needs a permission and has none, since the
// request became a suspect after its server was chosen.
bool request_relay::is_permission_missing()
{
    const crash_standing now = standing();
    return now == crash_standing::condemned ||
           (now == crash_standing::suspected && !is_permitted(sent_to_.server));
}

// Goes on with on_permission_answer().
void request_relay::ask_for_permission(const server_choice& to)
{
    release_permission();
    enter(request_phase::permission_wait);
    watched_attempt attempt = last_attempt();
    attempt.server = to.server;
    attempt.address = to.address;
    permission_ = attempt_permission{to, {}, {}};
    permission_->asked = context_.crashes->request_trial(
        attempt,
        std::max<duration>(time_left(), milliseconds(1)),
        in_this_phase(&request_relay::on_permission_answer));
}

void request_relay::on_permission_answer(trial_answer answer)
{
    const server_choice to = permission_->to;
    context_.log.trial_answered({request_id_, route_.name, service_}, to.server, answer);
    const std::optional<trial_id> asked = std::exchange(permission_->asked, {});
    switch (answer)
    {
    case trial_answer::run:
        permission_->granted = asked;
        busy_servers_.clear();
        permission_wait_end_.reset();
        if (may_still_use(to))
        {
            send_with_limits(to);
            return;
        }
        break;
    case trial_answer::wait:
        wait_for_permission();
        return;
    case trial_answer::other_server:
        if (key_)
        {
            wait_for_permission();
            return;
        }
        busy_servers_.push_back(to.server);
        break;
    case trial_answer::condemned:
    case trial_answer::cleared:
        break;
    }
    try_send();
}

// Whether a server that was chosen earlier may still get the request.
bool request_relay::may_still_use(const server_choice& to) const
{
    const service_state* service = context_.state.find_service(service_);
    const known_server* server = context_.state.servers().find(to.server);
    const bool is_available = service != nullptr &&
                              is_same_incarnation(server, to.incarnation) &&
                              !service->pool.is_paused(to.server, context_.loop.now());
    if (!is_available)
    {
        return false;
    }
    return key_ ? find_owner() == sent_to_owner_ &&
                      !server->is_past_evacuation(context_.loop.now())
                : server->is_usable();
}

// Asks again after permission_retry_delay, and answers the request when the wait takes
// too long.
void request_relay::wait_for_permission()
{
    const time_point now = context_.loop.now();
    busy_servers_.clear();
    if (!permission_wait_end_)
    {
        permission_wait_end_ = now + max_permission_wait;
    }
    if (now + permission_retry_delay > std::min(*permission_wait_end_, deadline_))
    {
        answer_locally(local_answer_reason::suspected);
        return;
    }
    enter(request_phase::suspect_wait);
    set_phase_timer(permission_retry_delay, &request_relay::try_send);
}

watched_attempt request_relay::last_attempt()
{
    watched_attempt made;
    made.request_id = request_id_;
    made.service = service_;
    made.request = fingerprint();
    made.server = sent_to_.server;
    made.address = sent_to_.address;
    made.started_at = sent_at_;
    made.ended_at = context_.loop.now();
    if (permission_)
    {
        made.trial = permission_->granted;
    }
    return made;
}

// Tells the fleet how an attempt of a suspect ended. An answer shows that its server did
// not crash, also if the attempt needed no permission.
void request_relay::note_attempt_end(attempt_end how)
{
    const bool is_completed =
        how == attempt_end::answered || how == attempt_end::server_error;
    const bool is_permitted_attempt = permission_ && permission_->granted;
    const bool is_news = is_completed && standing() != crash_standing::clear;
    if (is_permitted_attempt || is_news)
    {
        context_.crashes->report(
            last_attempt(), is_completed ? trial_end::completed : trial_end::unknown);
    }
    permission_.reset();
}

// After an attempt that was cut off. Goes on with try_send(), unless the request is
// answered meanwhile.
void request_relay::check_crash()
{
    enter(request_phase::crash_check);
    context_.crashes->check_crash(last_attempt(),
                                  in_this_phase(&request_relay::try_send));
    permission_.reset();
}

void request_relay::release_permission()
{
    if (!permission_)
    {
        return;
    }
    if (permission_->asked)
    {
        context_.crashes->withdraw(*permission_->asked);
    }
    if (permission_->granted)
    {
        context_.crashes->report(last_attempt(), trial_end::unknown);
    }
    permission_.reset();
}

} // namespace camphorrock
