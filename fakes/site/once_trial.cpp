#include "fakes/site/once_trial.hpp"

#include "fakes/site/site_documents.hpp"
#include "net/pipelined_server.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace camphorrock::fakes
{
namespace
{

constexpr unsigned max_attempts = 4;
constexpr int slots = 3;
constexpr std::size_t max_queued = 12;
// From the entry of a leaving server in the store to its end.
constexpr duration leave_time = milliseconds(2500);

double seconds_of(time_point at)
{
    return std::chrono::duration<double>(at.time_since_epoch()).count();
}

// "12.345 text"
std::string trace_line(time_point at, const std::string& text)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.3f ", seconds_of(at));
    return buf + text;
}

struct trace_row
{
    time_point at{};
    std::string text;
};

std::string text_of(const caller_answer& of)
{
    switch (of.end)
    {
    case caller_end::answered:
        return "answered " + std::to_string(of.status);
    case caller_end::lost:
        return "not answered: the connection ended";
    case caller_end::unread:
        return "not answered: behind an answer that closed the connection";
    case caller_end::waiting:
        break;
    }
    return "waits";
}

} // namespace

void once_trial::address_holder::handle(http_request request,
                                        std::shared_ptr<http_responder> responder)
{
    servers[current]->handle(std::move(request), std::move(responder));
}

result<std::unique_ptr<once_trial>>
once_trial::create(event_loop& loop, const once_trial_options& options, event_log& log)
{
    std::unique_ptr<once_trial> made(new once_trial(loop, options, log));
    BOOST_LEAF_CHECK(made->open_ports());
    for (std::size_t n = 0; n < options.servers; ++n)
    {
        BOOST_LEAF_CHECK(made->add_address());
    }
    return made;
}

once_trial::once_trial(event_loop& loop,
                       const once_trial_options& options,
                       event_log& log)
    : loop_(loop), options_(options), log_(log), random_(options.seed),
      store_(loop, {.era = 1, .kv = {}}), view_(store_)
{
    site_config_options config;
    config.max_attempts = max_attempts;
    config.has_keyed_service = options.is_keyed;
    store_.put("op/config", site_config_text(config));
}

result<void> once_trial::open_ports()
{
    pipelined_server_options port;
    port.common.address = options_.store_address;
    BOOST_LEAF_ASSIGN(store_port_, create_pipelined_server(loop_, port, store_));
    if (!options_.relayed_store_address.empty())
    {
        port.common.address = options_.relayed_store_address;
        BOOST_LEAF_ASSIGN(relayed_store_port_,
                          create_pipelined_server(loop_, port, view_));
    }
    return {};
}

std::unique_ptr<site_server> once_trial::make_server(const std::string& id)
{
    site_server_options made;
    made.id = id;
    made.is_keyed = options_.is_keyed;
    made.slots = slots;
    made.max_queued = max_queued;
    made.work = options_.work;
    made.seed = random_();
    auto server = std::make_unique<site_server>(loop_, made);
    site_server_faults& faults = server->faults();
    faults.refuse_share = options_.refuse_share;
    faults.refuse_statuses = options_.refuse_statuses;
    faults.run_status_share = options_.run_status_share;
    faults.run_statuses = options_.run_statuses;
    faults.order_time = draw(options_.order);
    return server;
}

result<void> once_trial::add_address()
{
    trial_address made;
    made.holder = std::make_unique<address_holder>();
    for (std::size_t n = 0; n < options_.ids_at_address; ++n)
    {
        const std::string id = "s" + std::to_string(++last_server_);
        made.holder->ids.push_back(id);
        made.holder->servers.push_back(make_server(id));
    }
    repeating_port_options port;
    port.copy_share = options_.copy_share;
    port.seed = random_();
    BOOST_LEAF_ASSIGN(made.port, repeating_port::create(loop_, port, *made.holder));
    if (relayed_store_port_)
    {
        BOOST_LEAF_ASSIGN(
            made.link,
            relay::create(loop_, endpoint("127.0.0.1:0"), made.port->bound(), log_));
        for (const std::string& id : made.holder->ids)
        {
            view_.set_address(id, made.link->bound());
        }
    }
    list(made, site_entry_state::ready);
    addresses_.push_back(std::move(made));
    return {};
}

void once_trial::list(const trial_address& it, site_entry_state state)
{
    const char* service = options_.is_keyed ? diary_service : shelf_service;
    for (const std::string& id : it.holder->ids)
    {
        store_.put("servers/" + id,
                   site_entry_text({service, it.port->bound(), slots, state}));
    }
}

duration once_trial::draw(const drawn_duration& from)
{
    std::uniform_int_distribution<duration::rep> any(from.least.count(),
                                                     from.most.count());
    return duration(any(random_));
}

void once_trial::schedule_replacement()
{
    if (options_.add.most > duration::zero())
    {
        replacement_timer_ = loop_.after(draw(options_.add),
                                         [this]
                                         {
                                             replace_oldest();
                                             schedule_replacement();
                                         });
    }
}

void once_trial::replace_oldest()
{
    const bool is_added = value_or_handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(add_address());
            return true;
        },
        [](const error&) { return false; });
    const auto oldest =
        std::find_if(addresses_.begin(),
                     addresses_.end(),
                     [](const trial_address& it) { return !it.is_leaving; });
    if (!is_added || oldest == addresses_.end())
    {
        return;
    }
    oldest->is_leaving = true;
    for (const std::unique_ptr<site_server>& it : oldest->holder->servers)
    {
        it->faults().is_leaving = true;
    }
    list(*oldest, site_entry_state::draining);
    trial_address* leaving = &*oldest; // a deque keeps the places of its elements
    removal_timers_.push_back(
        loop_.after(leave_time, [this, leaving] { remove(*leaving); }));
}

void once_trial::remove(trial_address& it)
{
    for (const std::string& id : it.holder->ids)
    {
        store_.erase("servers/" + id);
    }
    it.past_copies = it.port->copies();
    it.link.reset();
    it.port.reset();
}

void once_trial::schedule_take_over()
{
    if (options_.ids_at_address > 1)
    {
        take_over_timer_ = loop_.after(draw(options_.take_over),
                                       [this]
                                       {
                                           take_over();
                                           schedule_take_over();
                                       });
    }
}

void once_trial::take_over()
{
    for (trial_address& it : addresses_)
    {
        it.holder->current = (it.holder->current + 1) % it.holder->servers.size();
        if (options_.take_over_closes && it.port)
        {
            it.port->close_connections();
        }
    }
}

void once_trial::toggle_cut()
{
    is_cut_ = !is_cut_;
    const relay_mode mode = is_cut_ ? relay_mode::cut : relay_mode::pass;
    for (trial_address& it : addresses_)
    {
        if (it.link)
        {
            value_or_handle(
                [&] {
                    return it.link->set_fault({mode, {}, {}, {}});
                },
                [&](const error& ec) {
                    log_.write(event_id::program_failed, {{"text", ec.text}});
                });
        }
    }
}

void once_trial::start_callers()
{
    for (std::size_t at = 0; at < options_.gateways.size(); ++at)
    {
        for (std::size_t n = 0; n < options_.callers; ++n)
        {
            trial_caller_options made;
            made.name = "c" + std::to_string(callers_.size() + 1);
            made.gateways = options_.gateways;
            std::rotate(made.gateways.begin(),
                        made.gateways.begin() + static_cast<std::ptrdiff_t>(at),
                        made.gateways.end());
            made.is_keyed = options_.is_keyed;
            made.prefix = options_.is_keyed ? "/visit/" : "/reserve/";
            made.depth = options_.depth;
            made.seed = random_();
            callers_.push_back(std::make_unique<trial_caller>(loop_, made));
            callers_.back()->start();
        }
    }
    schedule_replacement();
    schedule_take_over();
    if (options_.cut_period > duration::zero() && relayed_store_port_)
    {
        cut_timer_ = loop_.every(options_.cut_period, [this] { toggle_cut(); });
    }
}

void once_trial::stop_callers()
{
    for (const std::unique_ptr<trial_caller>& it : callers_)
    {
        it->stop();
    }
}

std::size_t once_trial::in_flight() const
{
    std::size_t sum = 0;
    for (const std::unique_ptr<trial_caller>& it : callers_)
    {
        sum += it->in_flight();
    }
    return sum;
}

std::vector<refusal_copy> once_trial::copies() const
{
    std::vector<refusal_copy> made;
    for (const trial_address& it : addresses_)
    {
        const std::vector<refusal_copy>& from =
            it.port ? it.port->copies() : it.past_copies;
        made.insert(made.end(), from.begin(), from.end());
    }
    return made;
}

std::vector<site_run> once_trial::runs() const
{
    std::vector<site_run> made;
    for (const trial_address& it : addresses_)
    {
        for (const std::unique_ptr<site_server>& server : it.holder->servers)
        {
            made.insert(made.end(), server->runs().begin(), server->runs().end());
        }
    }
    return made;
}

once_report once_trial::report() const
{
    std::vector<caller_answer> answers;
    for (const std::unique_ptr<trial_caller>& it : callers_)
    {
        answers.insert(answers.end(), it->answers().begin(), it->answers().end());
    }
    const std::vector<site_run> all_runs = runs();
    const std::vector<refusal_copy> all_copies = copies();
    once_report made;
    made.count = count_once(answers, all_runs);
    made.copies = all_copies.size();
    for (const std::string& id : made.count.broken)
    {
        std::vector<trace_row> rows;
        for (const caller_answer& it : answers)
        {
            if (it.request_id == id)
            {
                rows.push_back({it.sent_at, "sent to " + it.gateway.str()});
                rows.push_back({it.ended_at, text_of(it)});
            }
        }
        for (const site_run& it : all_runs)
        {
            if (it.request_id == id)
            {
                rows.push_back({it.started_at, "begins to run at " + it.server});
            }
        }
        for (const refusal_copy& it : all_copies)
        {
            if (it.request_id == id)
            {
                rows.push_back({it.at,
                                "copy of " + std::to_string(it.status) +
                                    " written for the answer of " + it.due_request_id});
            }
        }
        std::stable_sort(rows.begin(),
                         rows.end(),
                         [](const trace_row& a, const trace_row& b)
                         { return a.at < b.at; });
        for (const trace_row& it : rows)
        {
            made.traces.push_back(trace_line(it.at, id + " " + it.text));
        }
    }
    return made;
}

} // namespace camphorrock::fakes
