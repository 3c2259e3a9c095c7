#pragma once

// A stand-in for a server of the users' platform: slots and a queue, signed answers,
// grants of keys that count from their arrival, and the faults of the platform's pages.

#include "core/gateway/key_assignment.hpp"
#include "fakes/server/slot_queue.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorrock::fakes
{

struct site_server_options
{
    std::string id;
    bool is_keyed = false;
    std::size_t slots = 3;
    std::size_t queue = 12;
    duration work = milliseconds(5);
};

// Changed while it runs, for faults.
struct site_server_faults
{
    double fail_share = 0;      // of the runs answer 500
    bool loses_answers = false; // runs, then cuts the connection
    bool is_silent = false;     // takes requests and never answers
    bool has_no_signature = false;
    bool answers_for_others = false; // echoes another request's id
    bool is_encoded = false;         // states a Content-Encoding
    duration orders_late{}; // orders get no answer and are carried out so much later
};

// One run of a request.
struct site_run
{
    std::string request_id;
    std::string target;
    std::string remaining_ms;
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

    // Runs that were given up because their caller left.
    unsigned cancelled() const
    {
        return cancelled_;
    }

    bool holds(shard_key key) const;

private:
    struct work_item
    {
        http_request request;
        std::shared_ptr<http_responder> responder;
        timer_handle timer;
        bool is_running = false;
    };

    struct held_keys
    {
        shard_key_range keys;
        std::uint64_t epoch = 0;
        time_point until{};
    };

    void take_request(http_request request, std::shared_ptr<http_responder> responder);
    void take_order(const http_request& request,
                    const std::shared_ptr<http_responder>& responder);
    http_response carry_out_order(const http_request& request, time_point arrived);
    void begin(slot_ticket ticket);
    void end(slot_ticket ticket);
    void left(slot_ticket ticket);
    http_response refusal(int status) const;

    event_loop& loop_;
    site_server_options options_;
    site_server_faults faults_;
    slot_queue queue_;
    std::map<slot_ticket, work_item> items_;
    std::uint64_t last_ticket_ = 0;
    std::vector<site_run> runs_;
    std::vector<held_keys> held_;
    std::vector<held_keys> seen_;
    std::vector<std::shared_ptr<http_responder>> unanswered_;
    std::vector<timer_handle> late_;
    unsigned cancelled_ = 0;
};

} // namespace camphorrock::fakes
