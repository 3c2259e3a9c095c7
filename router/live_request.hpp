#pragma once

// One request of a caller while this router handles it. It is ended once, by answer(),
// forward_answer(), refuse() or abort(); later calls have no effect.
//
// Ownership: shared by the callbacks that wait on its behalf. If the last reference is
// dropped before the request has ended, the destructor ends it as an internal error, so
// that no caller is left without an answer.
//
// Invariant: after note_may_have_run() the caller never receives `not-run`, whatever the
// result of later attempts.

#include "core/admission/queued_request.hpp"
#include "core/base/names.hpp"
#include "core/base/outcome.hpp"
#include "core/base/time.hpp"
#include "core/config/service_config.hpp"
#include "core/routing/refusal.hpp"
#include "core/routing/request_target.hpp"
#include "net/http_message.hpp"
#include "router/problem_answer.hpp"

#include <functional>
#include <memory>
#include <string>

namespace camphorrock
{

// How a request ended, for metrics.
struct request_summary
{
    outcome reported_outcome = outcome::not_run;
    int status = 0;                  // HTTP; 0 if aborted
    refusal why = refusal::internal; // only if is_refusal
    bool is_refusal = false;
    bool is_aborted = false; // no answer was sent
};

class live_request
{
public:
    // Called once at the end with the answer to send, or null if the request is aborted.
    using end_callback = std::function<void(const request_summary&, http_response*)>;

    live_request(end_callback end, std::mt19937_64& random)
        : on_end_(std::move(end)), random_(random)
    {
    }

    live_request(const live_request&) = delete;
    live_request& operator=(const live_request&) = delete;
    ~live_request();

    // Ends the request with the server's complete answer and the outcome `ran`.
    void answer(http_response answer);

    // Ends the request with another router's answer, whose outcome header is kept.
    void forward_answer(http_response answer);

    void refuse(const problem& what);

    void refuse(refusal why, std::string detail = {})
    {
        refuse(problem{why, std::move(detail), {}});
    }

    // An attempt was abandoned after bytes of the request were sent, and the request will
    // be sent again. A refusal of a later attempt then does not prove that the first one
    // did not run.
    void note_may_have_run()
    {
        may_have_run_ = true;
    }

    // Ends the request without an answer and closes the caller's connection.
    void abort();

    // The caller has disconnected. Ends the request and calls on_caller_disconnect.
    void on_caller_disconnected();

    // False if sending the request, which is repeatable, would be of no use any more.
    bool is_wanted() const
    {
        return !id.empty() || !has_caller_left || !has_caller_left();
    }

    bool is_ended() const
    {
        return on_end_ == nullptr;
    }

    request_target target;
    std::string target_text; // `target` as the caller sent it
    std::string method;
    http_headers headers;
    std::string body;
    caller_name caller;
    request_id id; // empty if the request is repeatable
    route_class route;
    bool is_declared_long = false; // matches the service's long_routes
    time_point arrived;
    time_point deadline;
    bool is_forwarded = false;                  // received from another router
    std::function<void()> on_caller_disconnect; // called once; may be empty
    // True if the caller has disconnected, also if the loop has not handled that yet; may
    // be empty.
    std::function<bool()> has_caller_left;

private:
    void finish(const request_summary& summary, http_response* answer);

    end_callback on_end_;
    std::mt19937_64& random_;
    bool may_have_run_ = false;
};

using live_request_ptr = std::shared_ptr<live_request>;

} // namespace camphorrock
