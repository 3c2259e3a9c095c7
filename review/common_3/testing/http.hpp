#pragma once

// A small blocking HTTP/1.1 server and client for the stand-ins, with a thread for each
// connection.

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review3
{

struct exchanged_message
{
    std::string first_line;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string header(const std::string& name) const;
};

// What a handler does with a request besides its answer.
enum class answer_mode
{
    whole,  // the answer is sent
    close,  // the connection is closed without an answer
    silent, // nothing is sent, now or later, on this connection
};

struct wire_answer
{
    answer_mode kind = answer_mode::whole;
    int status = 200;
    std::map<std::string, std::string> headers{};
    std::string body{};
};

// The connection of a request, for handlers that wait.
class wire_peer
{
public:
    explicit wire_peer(int fd) : fd_(fd) {}

    bool has_closed() const;

private:
    int fd_;
};

using wire_handler =
    std::function<wire_answer(const exchanged_message&, const wire_peer&)>;

// Serves on 127.0.0.1 until the process ends or stop() is called, which closes the port
// and all connections.
class wire_server
{
public:
    wire_server(int port, wire_handler handler);

    int port() const
    {
        return port_;
    }
    void stop();

private:
    struct state;
    int port_ = 0;
    std::shared_ptr<state> state_;
};

struct call_result
{
    int status = 0; // 0: no whole answer
    exchanged_message answer{};
};

// One exchange on a connection of its own. Gives up, and closes the connection, after
// `timeout_ms`.
call_result call(int port,
                 const std::string& method,
                 const std::string& target,
                 const std::map<std::string, std::string>& headers,
                 const std::string& body,
                 int timeout_ms);

std::string query_of(const std::string& target, const std::string& name);

} // namespace review3
