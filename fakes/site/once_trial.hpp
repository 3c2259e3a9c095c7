#pragma once

// A trial of work that must run once: the store and the servers of a fake site, and
// callers that send such requests by gateways, which run as processes of their own. The
// servers refuse requests and write copies of the refusals.
//
//     BOOST_LEAF_AUTO(trial, once_trial::create(loop, options));
//     ...                             // gateways start, with trial->store_address()
//     trial->start_callers();
//     ...                             // later
//     trial->stop_callers();
//     if (trial->in_flight() == 0) ... trial->report() ...

#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "fakes/relay/relay.hpp"
#include "fakes/site/once_count.hpp"
#include "fakes/site/repeating_port.hpp"
#include "fakes/site/site_documents.hpp"
#include "fakes/site/site_server.hpp"
#include "fakes/site/site_store.hpp"
#include "fakes/site/store_view.hpp"
#include "fakes/site/trial_caller.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace camphorrock::fakes
{

// A time that is drawn anew for each use.
struct drawn_duration
{
    duration least{};
    duration most{};
};

struct once_trial_options
{
    endpoint store_address = endpoint("127.0.0.1:0");
    // A second port of the same store, in which each server is listed at the address of a
    // relay; for a gateway whose links to the servers are cut. Empty: none.
    endpoint relayed_store_address;
    std::vector<endpoint> gateways;
    bool is_keyed = false;
    std::size_t servers = 2;
    // Servers of different ids that share one address. One of them answers there, and
    // refuses requests for the others; `take_over` says for how long.
    std::size_t ids_at_address = 1;
    drawn_duration take_over;
    bool take_over_closes = false; // connections end when another one takes over
    // A server is added so often, and the oldest one drains. Zero: never.
    drawn_duration add;
    drawn_duration order; // until an order is carried out and answered
    // Relayed links of the servers are cut after this time, are back after it, and so on.
    // Zero: never.
    duration cut_period{};
    duration work = milliseconds(100);
    double refuse_share = 0;
    std::vector<int> refuse_statuses{503};
    double run_status_share = 0;
    std::vector<int> run_statuses{503};
    double copy_share = 1;
    std::size_t callers = 4; // at each gateway
    std::size_t depth = 1;   // requests in flight of a caller
    std::uint64_t seed = 1;
};

struct once_report
{
    once_count count;
    std::size_t copies = 0;
    // Of each broken request, a line for each copy, run and answer.
    std::vector<std::string> traces;
};

class once_trial
{
public:
    // Listens at once. Fails with error_code::io if an address cannot be bound. `loop`
    // and `log` must outlive the trial.
    static result<std::unique_ptr<once_trial>>
    create(event_loop& loop, const once_trial_options& options, event_log& log);

    once_trial(const once_trial&) = delete;
    once_trial& operator=(const once_trial&) = delete;

    endpoint store_address() const
    {
        return store_port_->bound();
    }

    // Only if the options name such a store.
    endpoint relayed_store_address() const
    {
        return relayed_store_port_->bound();
    }

    // From now on servers also come and go, if the options say so.
    void start_callers();

    void stop_callers();

    // Requests without an answer.
    std::size_t in_flight() const;

    once_report report() const;

private:
    // Passes requests to the server that answers at an address.
    struct address_holder : http_handler
    {
        void handle(http_request request,
                    std::shared_ptr<http_responder> responder) override;

        std::vector<std::unique_ptr<site_server>> servers;
        std::vector<std::string> ids;
        std::size_t current = 0;
    };

    struct trial_address
    {
        std::unique_ptr<address_holder> holder;
        std::unique_ptr<repeating_port> port; // null once its servers have left
        std::unique_ptr<relay> link;          // null without a relayed store
        std::vector<refusal_copy> past_copies;
        bool is_leaving = false;
    };

    once_trial(event_loop& loop, const once_trial_options& options, event_log& log);
    result<void> open_ports();
    result<void> add_address();
    std::unique_ptr<site_server> make_server(const std::string& id);
    void list(const trial_address& it, site_entry_state state);
    void replace_oldest();
    void remove(trial_address& it);
    void schedule_replacement();
    void schedule_take_over();
    void take_over();
    void toggle_cut();
    duration draw(const drawn_duration& from);
    std::vector<refusal_copy> copies() const;
    std::vector<site_run> runs() const;

    event_loop& loop_;
    once_trial_options options_;
    event_log& log_;
    std::mt19937_64 random_;
    site_store store_;
    store_view view_;
    std::unique_ptr<http_server> store_port_;
    std::unique_ptr<http_server> relayed_store_port_;
    std::size_t last_server_ = 0; // number in the id of the last server
    bool is_cut_ = false;
    std::deque<trial_address> addresses_;
    std::vector<std::unique_ptr<trial_caller>> callers_;
    timer_handle replacement_timer_;
    timer_handle take_over_timer_;
    timer_handle cut_timer_;
    std::vector<timer_handle> removal_timers_;
};

} // namespace camphorrock::fakes
