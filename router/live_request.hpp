#pragma once

// One request of a caller while this router holds it. Whoever has it in hand ends it
// once, by answer(), refuse() or cut(); later calls have no effect.
//
// Ownership: shared by the steps that wait for something on its behalf. The last one
// to let go of an unended request ends it as an internal fault, so that no caller is
// left without an answer.
//
// Invariant: after note_may_have_run() the caller is never told `not-run`, whatever the
// later sendings of the request came to.

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

// How a request ended here, for metrics.
struct request_summary
{
    outcome reported_outcome = outcome::not_run;
    int status = 0;
    refusal why = refusal::internal; // for refusals only
    bool is_refusal = false;
    bool is_cut = false;
};

class live_request
{
public:
    // Called once at the end with the answer to send, or null for a cut.
    using ender = std::function<void(const request_summary&, http_response*)>;

    live_request(ender end, std::mt19937_64& random)
        : end_(std::move(end)), random_(random)
    {
    }

    live_request(const live_request&) = delete;
    live_request& operator=(const live_request&) = delete;
    ~live_request();

    // The server's whole answer.
    void answer(http_response answer);

    // An answer of another router, outcome and all.
    void pass_on(http_response answer);

    void refuse(const problem& what);

    void refuse(refusal why, std::string detail = {})
    {
        refuse(problem{why, std::move(detail), {}});
    }

    // A sending of the request was given up after bytes of it had left, and it is to be
    // sent again: no refusal of a later sending proves that the first one did not run.
    void note_may_have_run()
    {
        may_have_run_ = true;
    }

    // Cuts the caller's connection.
    void cut();

    // The caller is gone; nothing will be sent any more.
    void note_gone();

    bool is_ended() const
    {
        return end_ == nullptr;
    }

    request_target target;
    std::string target_text; // as the caller sent it
    std::string method;
    http_headers headers;
    std::string body;
    caller_name caller;
    request_id id; // empty: the request may be repeated
    route_class route;
    bool is_declared_long = false; // by the service's long_routes
    time_point arrived;
    time_point deadline;
    bool is_forwarded = false;           // it came from another router
    std::function<void()> on_disconnect; // set by the step that wants to know

private:
    void finish(const request_summary& summary, http_response* answer);

    ender end_;
    std::mt19937_64& random_;
    bool may_have_run_ = false;
};

using live_request_ptr = std::shared_ptr<live_request>;

} // namespace camphorrock
