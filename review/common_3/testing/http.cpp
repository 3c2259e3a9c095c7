#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>

namespace review3
{
namespace
{

using steady = std::chrono::steady_clock;

sockaddr_in loopback(int port)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    made.sin_port = htons(static_cast<std::uint16_t>(port));
    return made;
}

bool send_all(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t n =
            ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::string lower(std::string text)
{
    std::transform(text.begin(),
                   text.end(),
                   text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

// Reads one message with a Content-Length, or without a body. `rest` keeps what follows.
bool read_message(int fd,
                  std::string& rest,
                  exchanged_message& got,
                  steady::time_point until)
{
    std::size_t head_end = std::string::npos;
    std::size_t whole = std::string::npos;
    while (true)
    {
        if (head_end == std::string::npos)
        {
            head_end = rest.find("\r\n\r\n");
            if (head_end != std::string::npos)
            {
                got = {};
                std::size_t at = rest.find("\r\n");
                got.first_line = rest.substr(0, at);
                at += 2;
                while (at < head_end + 2)
                {
                    const std::size_t end = rest.find("\r\n", at);
                    const std::string line = rest.substr(at, end - at);
                    const std::size_t colon = line.find(':');
                    if (colon != std::string::npos)
                    {
                        std::string value = line.substr(colon + 1);
                        value.erase(0, value.find_first_not_of(" \t"));
                        got.headers[lower(line.substr(0, colon))] = value;
                    }
                    at = end + 2;
                }
                const std::string length = got.header("content-length");
                whole = head_end + 4 + (length.empty() ? 0 : std::stoul(length));
            }
        }
        if (whole != std::string::npos && rest.size() >= whole)
        {
            got.body = rest.substr(head_end + 4, whole - head_end - 4);
            rest.erase(0, whole);
            return true;
        }
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now());
        pollfd it{fd, POLLIN, 0};
        if (left.count() <= 0 || poll(&it, 1, static_cast<int>(left.count())) <= 0)
        {
            return false;
        }
        char buf[16384];
        const ssize_t n = recv(fd, buf, sizeof buf, 0);
        if (n <= 0)
        {
            return false;
        }
        rest.append(buf, static_cast<std::size_t>(n));
    }
}

std::string text_of(const wire_answer& it)
{
    std::string made = "HTTP/1.1 " + std::to_string(it.status) + " Status\r\n";
    for (const auto& [name, value] : it.headers)
    {
        made += name + ": " + value + "\r\n";
    }
    return made + "Content-Length: " + std::to_string(it.body.size()) + "\r\n\r\n" +
           it.body;
}

} // namespace

std::string exchanged_message::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

bool wire_peer::has_closed() const
{
    pollfd it{fd_, POLLRDHUP, 0};
    return poll(&it, 1, 0) > 0 && (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

struct wire_server::state
{
    wire_handler handler;
    std::mutex lock;
    std::set<int> open;
    int listener = -1;
    bool is_stopped = false;

    static void serve(const std::shared_ptr<state>& self, int fd)
    {
        std::string rest;
        exchanged_message got;
        while (read_message(fd, rest, got, steady::now() + std::chrono::hours(1)))
        {
            const wire_answer answer = self->handler(got, wire_peer(fd));
            if (answer.kind == answer_mode::silent)
            {
                // Until the caller closes.
                char buf[4096];
                while (recv(fd, buf, sizeof buf, 0) > 0)
                {
                }
                break;
            }
            if (answer.kind == answer_mode::close || !send_all(fd, text_of(answer)))
            {
                break;
            }
        }
        const std::lock_guard guard(self->lock);
        self->open.erase(fd);
        ::close(fd);
    }
};

wire_server::wire_server(int port, wire_handler handler)
    : state_(std::make_shared<state>())
{
    state_->handler = std::move(handler);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = loopback(port);
    socklen_t size = sizeof at;
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(fd, 512) != 0)
    {
        throw std::runtime_error(std::string("cannot listen: ") + std::strerror(errno));
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
    state_->listener = fd;
    std::thread(
        [self = state_, fd]
        {
            while (true)
            {
                const int got = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (got < 0)
                {
                    return;
                }
                const int yes = 1;
                setsockopt(got, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
                const std::lock_guard guard(self->lock);
                if (self->is_stopped)
                {
                    ::close(got);
                    return;
                }
                self->open.insert(got);
                std::thread([self, got] { state::serve(self, got); }).detach();
            }
        })
        .detach();
}

void wire_server::stop()
{
    const std::lock_guard guard(state_->lock);
    state_->is_stopped = true;
    shutdown(state_->listener, SHUT_RDWR);
    ::close(state_->listener);
    for (int fd : state_->open)
    {
        shutdown(fd, SHUT_RDWR);
    }
}

call_result call(int port,
                 const std::string& method,
                 const std::string& target,
                 const std::map<std::string, std::string>& headers,
                 const std::string& body,
                 int timeout_ms)
{
    call_result made;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
    {
        return made;
    }
    const sockaddr_in to = loopback(port);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0)
    {
        std::string text = method + " " + target + " HTTP/1.1\r\n";
        for (const auto& [name, value] : headers)
        {
            text += name + ": " + value + "\r\n";
        }
        if (method != "GET")
        {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        text += "\r\n" + body;
        std::string rest;
        const auto until = steady::now() + std::chrono::milliseconds(timeout_ms);
        if (send_all(fd, text) && read_message(fd, rest, made.answer, until) &&
            made.answer.first_line.starts_with("HTTP/1.1 ") &&
            made.answer.first_line.size() > 12)
        {
            made.status = std::stoi(made.answer.first_line.substr(9, 3));
        }
    }
    ::close(fd);
    return made;
}

std::string query_of(const std::string& target, const std::string& name)
{
    const std::size_t query = target.find('?');
    std::size_t at = query == std::string::npos ? target.size() : query + 1;
    while (at < target.size())
    {
        const std::size_t end = std::min(target.find('&', at), target.size());
        const std::string part = target.substr(at, end - at);
        if (part.starts_with(name + "="))
        {
            std::string decoded;
            for (std::size_t n = name.size() + 1; n < part.size(); ++n)
            {
                if (part[n] == '%' && n + 2 < part.size())
                {
                    decoded +=
                        static_cast<char>(std::stoi(part.substr(n + 1, 2), nullptr, 16));
                    n += 2;
                }
                else
                {
                    decoded += part[n];
                }
            }
            return decoded;
        }
        at = end + 1;
    }
    return "";
}

} // namespace review3
