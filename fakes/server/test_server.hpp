#pragma once

// A stand-in for the users' servers: takes grants over JSON-RPC at POST /rpc, and serves
// any /{service}/{key}... with a simulated service time in its slots.
//
// Query parameters of a request: `work=long` takes the long service time; `tag` is
// recorded and echoed, as is the header X-Attempt. The answer is a server_answer with the
// outcome `ran`, so that the load tool can also send to a server directly. Refusals are
// application/problem+json with "Camphorrock-Outcome: not-run": 409 for a request that
// the grants do not cover, 503 where the queue is full or the server sheds, 504 where the
// caller's time ran out in the queue. Each run is recorded before its effect.

#include "app/event_log.hpp"
#include "app/line_file.hpp"
#include "core/routing/request_target.hpp"
#include "fakes/server/grant_book.hpp"
#include "fakes/server/server_options.hpp"
#include "fakes/server/service_time.hpp"
#include "fakes/server/slot_queue.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/rpc_server.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace camphorrock
{

class test_server : public http_handler
{
public:
    // All references must outlive the server.
    test_server(event_loop& loop,
                server_options options,
                line_file& history,
                event_log& log);

    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    // Refuses all new requests from now on; for a graceful shutdown.
    void drain();

    // Changed while it runs, for fault injection.
    server_behaviour& behaviour()
    {
        return options_.behaviour;
    }

    const slot_queue& slots() const
    {
        return queue_;
    }

private:
    // One request, from its admission to its answer.
    struct work_item
    {
        request_target target;
        epoch since;
        request_id id;
        std::string tag;
        std::string attempt;
        work_class work = work_class::short_work;
        std::optional<time_point> deadline;
        std::shared_ptr<http_responder> responder;
        std::string run; // empty until it began
        timer_handle timer;
    };

    void answer_rpc(const http_request& request, http_responder& responder);
    void admit(const http_request& request, std::shared_ptr<http_responder> responder);
    bool is_owned(const work_item& item);
    void begin(slot_ticket ticket);
    void begin_next();
    void end(slot_ticket ticket);
    void forget(slot_ticket ticket);
    void record_start(const work_item& item);
    void record_end(const work_item& item);
    http_response answer_of(const work_item& item, int status) const;

    event_loop& loop_;
    server_options options_;
    line_file& history_;
    grant_book grants_;
    rpc_server rpc_;
    service_time times_;
    slot_queue queue_;
    std::map<slot_ticket, work_item> items_;
    std::uint64_t last_ticket_ = 0;
    std::string run_prefix_; // unique for this process
    bool is_draining_ = false;
};

} // namespace camphorrock
