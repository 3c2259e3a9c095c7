#pragma once

// A fake of a server of the users' platform: slots and a queue, signed answers, grants of
// keys whose hold time begins when the order arrives, and the faults that the platform's
// documentation names.

#include "core/gateway/owners/key_assignment.hpp"
#include "fakes/server/slot_queue.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace camphorrock::fakes
{

struct site_server_options
{
    std::string id;
    bool is_keyed = false; // refuses requests for keys that it has no grant for
    std::size_t slots = 3;
    std::size_t max_queued = 12;
    duration work = milliseconds(5); // service time of each request
    std::uint64_t seed = 1;          // of the random choices of its faults
};

// Faults, which can be changed while the server runs.
struct site_server_faults
{
    // Answers 500 once the number of runs so far times fail_share is 1 or more; 0: never.
    double fail_share = 0;
    bool loses_answers = false;   // runs the request, then cuts the connection
    bool is_unresponsive = false; // accepts requests and neither runs nor answers them
    bool hangs_when_full = false; // gives a request that it can't queue no answer
    bool omits_signature = false; // sends no Response-Signature
    bool echoes_other_request_id = false;
    bool is_leaving = false;   // all answers say that the server leaves
    std::string asks_pause;    // if set, requests get 503 with this Retry-After
    std::string names_limit;   // if set, all answers name this limit of requests a second
    std::string names_warm_up; // if set, all answers have this Warmup-Ms
    std::string names_load;    // if set, all answers report this load
    bool sets_content_encoding = false; // sends a Content-Encoding
    duration order_delay{}; // if not 0, orders get no answer and take effect after it
    duration order_time{};  // if not 0, orders take effect and are answered after it
    // Requests are refused as not run with this chance, with one of these statuses.
    double refuse_share = 0;
    std::vector<int> refuse_statuses{503};
    // Answers to requests that ran have one of these statuses with this chance.
    double run_status_share = 0;
    std::vector<int> run_statuses{503};
    // Requests whose target begins with this crash the server at the end of their run;
    // empty: none. `on_crash` must end all its connections and stop listening.
    std::string crashes_on;
    std::function<void()> on_crash;
};

// One run of a request.
struct site_run
{
    std::string request_id;
    std::string target;
    std::string remaining_ms; // value of the Timeout-Remaining header
    std::string server{};     // id of the server
    time_point started_at{};
};

class site_server : public http_handler
{
public:
    // `loop` must outlive the server.
    site_server(event_loop& loop, site_server_options options);

    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    site_server_faults& faults()
    {
        return faults_;
    }

    const std::vector<site_run>& runs() const
    {
        return runs_;
    }

    // The number of requests, queued or running, whose caller disconnected.
    unsigned cancelled() const
    {
        return cancelled_;
    }

    // The number of requests that were turned away because of faults().asks_pause.
    unsigned pauses_asked() const
    {
        return pauses_asked_;
    }

    // The number of requests that got no answer because of faults().hangs_when_full.
    unsigned hung() const
    {
        return hung_;
    }

    // The times at which requests and orders arrived.
    const std::vector<time_point>& arrivals() const
    {
        return arrivals_;
    }

    // The most arrivals within any span of `window` that begins at `from` or later.
    // O(arrivals).
    std::size_t most_arrivals(duration window, time_point from) const;

    // Returns true if a grant of the key is in force.
    bool holds(shard_key key) const;

private:
    struct work_item
    {
        http_request request;
        std::shared_ptr<http_responder> responder;
        timer_handle timer;
        bool is_running = false;
    };

    struct key_grant
    {
        shard_key_range keys;
        std::uint64_t epoch = 0;
        time_point expires_at{};
    };

    void handle_request(http_request request, std::shared_ptr<http_responder> responder);
    void handle_order(const http_request& request,
                      const std::shared_ptr<http_responder>& responder);
    // Applies a grant or a release, unless an order with a higher epoch has been applied
    // to some of its keys: then a grant gets 409, and a release 200 without effect.
    http_response apply_order(const http_request& request, time_point arrived_at);
    void start_run(slot_ticket ticket);
    void finish_run(slot_ticket ticket);
    void answer_order(const http_request& request,
                      const std::shared_ptr<http_responder>& responder,
                      time_point arrived_at);
    bool happens(double share);
    int any_of_statuses(const std::vector<int>& statuses);
    // Removes the request; a running one frees its slot.
    void on_caller_disconnected(slot_ticket ticket);
    // Returns an answer that reports that the request was not run.
    http_response make_refusal(const http_request& request, int status) const;
    void announce(http_response& answer) const;

    event_loop& loop_;
    site_server_options options_;
    site_server_faults faults_;
    std::mt19937_64 random_;
    slot_queue queue_;
    std::map<slot_ticket, work_item> items_;
    std::uint64_t last_ticket_ = 0;
    std::vector<site_run> runs_;
    std::vector<key_grant> granted_;
    std::vector<key_grant> applied_orders_; // expires_at is not set
    // Kept so that their connections stay open.
    std::vector<std::shared_ptr<http_responder>> unanswered_responders_;
    std::vector<timer_handle> delayed_order_timers_;
    std::vector<time_point> arrivals_;
    unsigned pauses_asked_ = 0;
    unsigned hung_ = 0;
    unsigned cancelled_ = 0;
};

} // namespace camphorrock::fakes
