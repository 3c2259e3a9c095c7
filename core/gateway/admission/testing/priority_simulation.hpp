#pragma once

// Clients of several priorities that send requests through gateways to the servers of one
// service, in virtual time. A server runs as many requests as it has slots and keeps
// `queue_length` further ones in order. The gateways report their requests in flight to
// one another. A refused client tries again through another gateway.
//
//     priority_simulation it(load, admission_rule::by_priority);
//     const std::vector<traffic_result> got = it.run(seconds(6));

#include "core/gateway/admission/priority_admission.hpp"
#include "core/gateway/fleet/testing/event_queue.hpp"

#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace camphorrock::testing
{

// Requests of one route.
struct traffic
{
    unsigned priority = 0;
    double per_s = 0;
    double factor = 1; // of per_s after the warm-up
    duration work{};   // the mean; half to one and a half of it
    duration target{};
    duration deadline{};
    double value_in_time = 0;
    double value_late = 0;
    double hot_share = 0; // of the requests, which are for the first owner of keys
};

struct priority_load
{
    std::vector<traffic> requests;
    std::vector<double> speeds; // of the servers
    bool is_keyed = false;      // each request has one server that may run it
    unsigned gateways = 12;
    unsigned retries = 1; // of a client
    unsigned slots = 3;
    unsigned queue_length = 12;
    duration report_interval = milliseconds(50);
    duration warm_up = seconds(4);
    unsigned seed = 7;
};

enum class admission_rule
{
    by_target,   // latency_limit() alone
    by_priority, // priority_admission
};

// What became of the requests of one route.
struct traffic_result
{
    unsigned clients = 0;
    unsigned answered = 0; // before the deadline
    unsigned in_time = 0;
    unsigned refusals = 0; // by gateways, of all tries
    unsigned shed = 0;     // by a server with a full queue
    double value = 0;

    double share() const
    {
        return clients == 0 ? 1 : static_cast<double>(answered) / clients;
    }
};

double value_of(const std::vector<traffic_result>& all);

class priority_simulation
{
public:
    priority_simulation(priority_load load, admission_rule rule);

    // Runs `warm_up` with the normal traffic, then `span` with the factors in force, and
    // then until all clients have ended. Returns what became of those that came within
    // the span.
    std::vector<traffic_result> run(duration span);

private:
    struct request
    {
        std::size_t of = 0; // the number of its traffic
        time_point came_at{};
        duration work{};
        std::size_t owner = 0; // of its key, if the service is keyed
        unsigned tries = 0;
        std::size_t gateway = 0;
        traffic_result* result = nullptr;
        server_choice to;
        time_point sent_at{};
    };

    using request_ptr = std::shared_ptr<request>;

    struct server
    {
        known_server entry;
        double speed = 1;
        unsigned running = 0;
        std::deque<request_ptr> waiting;
    };

    struct gateway
    {
        server_pool pool;
        priority_admission admission;
    };

    // For the clients, of whom the same come under every rule.
    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(client_random_);
    }

    duration mean_time() const;
    void come(std::size_t of);
    void send(const request_ptr& it);
    void refuse(const request_ptr& it, duration missing);
    admission_request terms_of(const request& it) const;
    admission_limit limit_of(const request& it, const server_choice& to) const;
    void arrive(const request_ptr& it);
    void start(const request_ptr& it);
    void end(const request_ptr& it);
    void exchange_reports();
    std::size_t server_index(const server_choice& to) const;

    priority_load load_;
    admission_rule rule_;
    event_queue events_{time_point(seconds(1000))};
    time_point first_counted_{};
    time_point last_arrival_{};
    std::vector<gateway> gateways_;
    std::vector<server> servers_;
    std::vector<double> key_sums_; // of the servers' speeds: faster owners have more keys
    std::mt19937 client_random_;
    std::minstd_rand random_;
    std::vector<traffic_result> results_;
    std::vector<traffic_result> warm_up_results_;
    std::uint64_t report_number_ = 0;
};

} // namespace camphorrock::testing
