#pragma once

// A caller of gateways that records what each of its requests was answered. Sends
// requests that may run once only, each with an id of its own and none of them twice, on
// one kept connection, up to `depth` of them before the first is answered. After the end
// of a connection it opens the next one.
//
//     trial_caller caller(loop, options);
//     caller.start();
//     ...
//     caller.stop(); // no further requests; answers are still awaited
//     if (caller.in_flight() == 0) ... caller.answers() ...
//
// Memory: one entry for each request.

#include "core/base/names.hpp"
#include "fakes/relay/tcp_socket.hpp"
#include "net/answer_parser.hpp"
#include "net/event_loop.hpp"
#include "net/memory_budget.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace camphorrock::fakes
{

struct trial_caller_options
{
    std::string name;                 // begins its request ids
    std::vector<endpoint> gateways;   // the first connection goes to the first one
    std::string prefix = "/reserve/"; // of its targets
    bool is_keyed = false;            // requests name a random key
    std::size_t depth = 1;            // requests in flight on one connection
    duration time_limit = seconds(2); // that its requests state
    duration pause = milliseconds(5); // between two requests, and before a connection
    std::uint64_t seed = 1;
};

// How a request ended for its caller.
enum class caller_end
{
    waiting,  // not yet
    answered, // with `status`
    lost,     // the connection ended first: a promise of nothing
    unread,   // an earlier answer closed the connection: the request counts as not read
};

struct caller_answer
{
    std::string request_id;
    caller_end end = caller_end::waiting;
    int status = 0;       // only for `answered`
    std::string answered; // the Request-Id of the answer
    time_point sent_at{};
    time_point ended_at{};
    endpoint gateway;
};

class trial_caller
{
public:
    // `loop` must outlive the caller.
    trial_caller(event_loop& loop, trial_caller_options options);
    trial_caller(const trial_caller&) = delete;
    trial_caller& operator=(const trial_caller&) = delete;

    void start();

    void stop();

    // Requests that have no answer yet.
    std::size_t in_flight() const
    {
        return in_flight_.size();
    }

    const std::vector<caller_answer>& answers() const
    {
        return answers_;
    }

private:
    void connect();
    void reconnect();
    void send_next();
    std::string make_request(const std::string& id);
    void read_some();
    void begin_answer();
    // Takes all answers that are complete.
    void parse(std::string_view bytes);
    void on_answer(const http_response& got);
    // Ends all requests in flight and the connection.
    void end_connection(caller_end end);

    event_loop& loop_;
    trial_caller_options options_;
    std::mt19937_64 random_;
    std::size_t connections_ = 0; // opened so far
    std::optional<tcp_socket> socket_;
    memory_claim no_budget_{nullptr, {}};
    std::optional<answer_parser> parser_; // of the next answer
    bool is_closing_ = false;             // the last answer closes the connection
    bool is_stopped_ = false;
    std::vector<caller_answer> answers_;
    std::deque<std::size_t> in_flight_; // indexes of answers_
    watch_handle read_watch_;
    timer_handle send_timer_;
    timer_handle connect_timer_;
};

} // namespace camphorrock::fakes
