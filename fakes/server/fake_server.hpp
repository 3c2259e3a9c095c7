#pragma once

// A fake of the users' servers. Accepts grants over JSON-RPC at POST /rpc, and runs
// requests for any /{service}/{key}... in its slots, with a simulated service time.
//
// Query parameters of a request: `work=long` selects the long service time; `tag` is
// recorded and echoed, as is the header X-Attempt. The answer is a server_answer with the
// outcome `ran`, so that the load tool can also send to a server directly. Refusals are
// application/problem+json with "Camphorrock-Outcome: not-run": 400 for a malformed
// target, 409 for a request that the grants do not cover, 503 if the queue is full, the
// request is shed or the server drains, 504 if the deadline passed in the queue. Each run
// is recorded before its effect.

#include "app/event_log.hpp"
#include "app/line_file.hpp"
#include "core/routing/request_target.hpp"
#include "fakes/server/grant_table.hpp"
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

class fake_server : public http_handler
{
public:
    // All references must outlive the server.
    fake_server(event_loop& loop,
                server_options options,
                line_file& history,
                event_log& log);

    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    // Refuses all further requests, for a graceful shutdown. Requests already admitted
    // are completed.
    void drain();

    // The caller may change it while the server runs, to inject faults.
    server_behaviour& behaviour()
    {
        return options_.behaviour;
    }

    const slot_queue& slots() const
    {
        return queue_;
    }

private:
    // An admitted request, until its answer.
    struct work_item
    {
        request_target target;
        epoch since; // the epoch that the request carries
        request_id id;
        std::string tag;
        std::string attempt;
        work_class work = work_class::short_work;
        std::optional<time_point> deadline; // empty: no timeout
        std::shared_ptr<http_responder> responder;
        std::string run_id; // id of the run; empty while the request is queued
        timer_handle timer;
    };

    void answer_rpc(const http_request& request, http_responder& responder);
    void admit(const http_request& request, std::shared_ptr<http_responder> responder);
    bool is_owned(const work_item& item);
    void start_run(slot_ticket ticket);
    void start_next_run();
    void finish_run(slot_ticket ticket);
    void on_caller_disconnected(slot_ticket ticket);
    void record_start(const work_item& item);
    void record_end(const work_item& item);
    http_response make_answer(const work_item& item, int status) const;

    event_loop& loop_;
    server_options options_;
    line_file& history_;
    grant_table grants_;
    rpc_server rpc_;
    service_time service_times_;
    slot_queue queue_;
    std::map<slot_ticket, work_item> items_;
    std::uint64_t last_ticket_ = 0;
    std::string run_id_prefix_; // unique to this process
    bool is_draining_ = false;
};

} // namespace camphorrock
