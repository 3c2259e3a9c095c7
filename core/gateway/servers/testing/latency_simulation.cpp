#include "core/gateway/servers/testing/latency_simulation.hpp"

#include "core/gateway/servers/latency_limit.hpp"

#include <algorithm>

namespace camphorrock::testing
{

latency_simulation::latency_simulation(const latency_options& options) : options_(options)
{
    servers_.resize(options.servers);
    std::vector<const known_server*> list;
    for (std::size_t n = 0; n < servers_.size(); ++n)
    {
        servers_[n].entry.entry.id = server_id(std::to_string(n));
        servers_[n].entry.entry.slots = options.slots;
        list.push_back(&servers_[n].entry);
    }
    for (unsigned n = 0; n < options.gateways; ++n)
    {
        pools_.emplace_back(data_centre("z"));
        pools_.back().update(list, events_.now());
    }
    for (unsigned n = 0; n < options.clients; ++n)
    {
        send_after(n, milliseconds(random_() % 100));
    }
    exchange_reports();
}

latency_counts latency_simulation::run(duration span)
{
    counts_ = {};
    events_.run(span);
    return counts_;
}

latency_simulation::server& latency_simulation::server_of(const attempt& it)
{
    return *std::find_if(servers_.begin(),
                         servers_.end(),
                         [&](const server& at)
                         { return at.entry.entry.id == it.to.server; });
}

void latency_simulation::send_after(unsigned client, duration span)
{
    events_.schedule(span, [this, client] { send(client); });
}

void latency_simulation::send(unsigned client)
{
    const server_choice to = *pool_of(client).choose({}, random_, events_.now());
    const duration limit = latency_limit(to, {options_.time_limit, options_.target});
    if (!is_worth_sending(to, limit))
    {
        ++counts_.refused;
        counts_.stale += is_stale(make_rejected_latency(to, limit)) ? 1 : 0;
        send_after(client, options_.refusal_wait);
        return;
    }
    pool_of(client).attempt_started(to, events_.now());
    const auto made = std::make_shared<attempt>();
    made->client = client;
    made->to = to;
    made->sent_at = events_.now();
    events_.schedule(options_.time_limit, [this, made] { time_out(made); });
    arrive(made);
}

void latency_simulation::arrive(const attempt_ptr& it)
{
    server& at = server_of(*it);
    if (at.running < options_.slots)
    {
        start(it);
        return;
    }
    if (at.waiting.size() < options_.queue_length)
    {
        at.waiting.push_back(it);
        return;
    }
    ++counts_.shed;
    end(*it, attempt_end::shed);
    send_after(it->client, options_.refusal_wait);
}

void latency_simulation::start(const attempt_ptr& it)
{
    ++server_of(*it).running;
    it->is_running = true;
    events_.schedule(options_.work, [this, it] { answer(it); });
}

void latency_simulation::answer(const attempt_ptr& it)
{
    if (it->is_ended)
    {
        return;
    }
    ++counts_.answered;
    end(*it, attempt_end::answered);
    send(it->client);
}

void latency_simulation::time_out(const attempt_ptr& it)
{
    if (it->is_ended)
    {
        return;
    }
    ++counts_.timed_out;
    end(*it, attempt_end::cancelled);
    send_after(it->client, options_.refusal_wait);
}

void latency_simulation::end(attempt& it, attempt_end how)
{
    it.is_ended = true;
    pool_of(it.client).attempt_ended(
        it.to, how, events_.now() - it.sent_at, events_.now());
    if (it.is_running)
    {
        --server_of(it).running;
    }
    start_waiting(server_of(it));
}

void latency_simulation::start_waiting(server& at)
{
    while (at.running < options_.slots && !at.waiting.empty())
    {
        const attempt_ptr next = at.waiting.front();
        at.waiting.pop_front();
        if (!next->is_ended)
        {
            start(next);
        }
    }
}

void latency_simulation::exchange_reports()
{
    for (std::size_t to = 0; to < pools_.size(); ++to)
    {
        remote_loads loads;
        for (std::size_t from = 0; from < pools_.size(); ++from)
        {
            gateway_load report{from, 1, {}};
            pools_[from].add_in_flight(report.servers, events_.now());
            if (from != to)
            {
                loads.add_report(report, events_.now());
            }
        }
        pools_[to].set_remote_loads(loads, static_cast<unsigned>(pools_.size()));
    }
    events_.schedule(options_.report_interval, [this] { exchange_reports(); });
}

} // namespace camphorrock::testing
