#pragma once

// One request of one connection, from its request line until its answer is sent or the
// connection is closed, and the responder that a handler holds for it. Shared by the
// connection and the responder, since either can go first.

#include "net/http_message.hpp"
#include "net/http_server.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct MHD_Connection;

namespace camphorrock
{

// What an exchange needs of its server.
class mhd_runner
{
public:
    virtual ~mhd_runner() = default;

    // Has libmicrohttpd look at its connections soon.
    virtual void run_soon() = 0;
};

struct mhd_exchange
{
    enum class decision
    {
        none,
        answer,
        abort,
    };

    mhd_runner* server = nullptr;
    MHD_Connection* raw = nullptr; // null once the exchange has ended
    http_request request;
    std::size_t body_bytes = 0; // received, kept or not
    bool is_handled = false;    // the handler was called
    bool is_suspended = false;
    decision decided = decision::none;
    http_response answer;
    std::function<void()> on_gone;

    // Takes the first decision; has no effect afterwards or once the exchange has ended.
    void decide(decision what, http_response with);

    // Lets libmicrohttpd wait until the decision.
    void suspend();

    // The connection's part is over.
    void end();

    // Calls on_gone, if the exchange is undecided; at most once.
    void report_gone();
};

// The responder of an exchange. Destroying it undecided cuts the connection.
std::shared_ptr<http_responder> make_responder(std::shared_ptr<mhd_exchange> exchange);

} // namespace camphorrock
