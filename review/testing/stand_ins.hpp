#pragma once

// Stand-ins for the cases of the review: the platform's store, servers, clients and the
// processes of gateways. Each accepts and serves its connections with threads of its own,
// on loopback addresses. They follow the users' pages; what a case needs beyond that is
// set by the hooks of case_server.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using json = nlohmann::json;
using case_clock = std::chrono::steady_clock;

inline const case_clock::time_point case_start = case_clock::now();

// Seconds since the start of the case.
inline double seconds_now()
{
    return std::chrono::duration<double>(case_clock::now() - case_start).count();
}

inline void pause_for(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// record.txt: one line for each thing that was sent, answered or run.
class case_record
{
public:
    explicit case_record(const std::string& path) : file_(std::fopen(path.c_str(), "w"))
    {
        if (file_ == nullptr)
        {
            std::exit(2);
        }
    }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list args;
        va_start(args, format);
        std::vsnprintf(text, sizeof text, format, args);
        va_end(args);
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%8.3f %s\n", seconds_now(), text);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

struct case_message
{
    std::string first_line;
    std::string method; // of a request
    std::string target;
    int status = 0; // of an answer
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers)
        {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
            {
                return value;
            }
        }
        return "";
    }
};

inline int listen_on(int port, int& bound)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        listen(fd, 256) != 0)
    {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    bound = ntohs(at.sin_port);
    return fd;
}

inline int free_port()
{
    int port = 0;
    close(listen_on(0, port));
    return port;
}

// One connection, read with a buffer. Not for use by several threads at once.
class case_connection
{
public:
    explicit case_connection(int fd) : fd_(fd)
    {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~case_connection()
    {
        close_now();
    }

    case_connection(const case_connection&) = delete;
    case_connection& operator=(const case_connection&) = delete;

    static std::unique_ptr<case_connection> open(int port)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
        {
            close(fd);
            return nullptr;
        }
        return std::make_unique<case_connection>(fd);
    }

    void close_now()
    {
        if (fd_ >= 0)
        {
            close(std::exchange(fd_, -1));
        }
    }

    // Ends the reads of another thread.
    void shut_down() const
    {
        shutdown(fd_, SHUT_RDWR);
    }

    bool is_closed_by_peer() const
    {
        pollfd it{fd_, POLLRDHUP, 0};
        return poll(&it, 1, 0) > 0 && (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    bool write(const std::string& bytes) const
    {
        std::size_t done = 0;
        while (done < bytes.size())
        {
            const ssize_t n =
                send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (n <= 0)
            {
                return false;
            }
            done += static_cast<std::size_t>(n);
        }
        return true;
    }

    // Nothing at the end of the connection, or after `limit` seconds without a byte.
    std::optional<case_message> read_message(bool is_answer, double limit = 60)
    {
        case_message made;
        std::size_t end = std::string::npos;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!read_more(limit))
            {
                return std::nullopt;
            }
        }
        std::string head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        made.first_line = head.substr(0, at);
        while (at + 2 < head.size())
        {
            const std::size_t next = head.find("\r\n", at + 2);
            const std::string line = head.substr(at + 2, next - at - 2);
            const std::size_t colon = line.find(':');
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
            {
                ++value;
            }
            made.headers.emplace_back(line.substr(0, colon), line.substr(value));
            at = next;
        }
        const std::size_t blank = made.first_line.find(' ');
        if (is_answer)
        {
            made.status = std::atoi(made.first_line.c_str() + blank + 1);
        }
        else
        {
            made.method = made.first_line.substr(0, blank);
            made.target =
                made.first_line.substr(blank + 1, made.first_line.rfind(' ') - blank - 1);
        }
        const std::size_t length =
            std::strtoull(made.header("Content-Length").c_str(), nullptr, 10);
        while (buffer_.size() < length)
        {
            if (!read_more(limit))
            {
                return std::nullopt;
            }
        }
        made.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return made;
    }

private:
    bool read_more(double limit)
    {
        pollfd it{fd_, POLLIN, 0};
        if (poll(&it, 1, static_cast<int>(limit * 1000)) <= 0)
        {
            return false;
        }
        char buf[65536];
        const ssize_t n = recv(fd_, buf, sizeof buf, 0);
        if (n <= 0)
        {
            return false;
        }
        buffer_.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string buffer_;
};

// Accepts connections at a port, each with a thread.
class case_listener
{
public:
    using serve_function = std::function<void(const std::shared_ptr<case_connection>&)>;

    explicit case_listener(serve_function serve, int port = 0)
        : fd_(listen_on(port, port_)), serve_(std::move(serve))
    {
        std::thread([this] { accept_all(); }).detach();
    }

    int port() const
    {
        return port_;
    }

private:
    void accept_all()
    {
        while (true)
        {
            const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                continue;
            }
            auto made = std::make_shared<case_connection>(fd);
            std::thread([this, made] { serve_(made); }).detach();
        }
    }

    int port_ = 0;
    int fd_;
    serve_function serve_;
};

inline std::string
make_answer(int status, const std::string& body, const std::string& headers = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string to_base64_text(const std::string& bytes)
{
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string made;
    for (std::size_t n = 0; n < bytes.size(); n += 3)
    {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            const bool is_there = n + k < bytes.size();
            group =
                group * 256 + (is_there ? static_cast<unsigned char>(bytes[n + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            const bool is_there = k == 0 || n + k - 1 < bytes.size();
            made += is_there ? digits[group >> (18 - 6 * k) & 63] : '=';
        }
    }
    return made;
}

inline double seconds_of(const std::string& text)
{
    const double number = std::atof(text.c_str());
    return text.find("ms") != std::string::npos ? number / 1000 : number;
}

// The platform's store. Each gateway may have a port of its own, at which it can be
// turned away.
class case_store
{
public:
    case_store()
    {
        std::thread([this] { expire_leases(); }).detach();
    }

    // A port for calls; returns its number in the order of the calls of add_port().
    std::size_t add_port()
    {
        const std::size_t number = ports_.size();
        auto made = std::make_unique<store_port>();
        store_port* it = made.get();
        ports_.push_back(std::move(made));
        it->listener = std::make_unique<case_listener>(
            [this, it](const std::shared_ptr<case_connection>& connection)
            {
                while (auto request = connection->read_message(false))
                {
                    if (!connection->write(answer_to(*request, *it)))
                    {
                        return;
                    }
                }
            });
        return number;
    }

    int port(std::size_t number) const
    {
        return ports_[number]->listener->port();
    }

    // Calls at that port get 503 and have no effect, those that wait too.
    void turn_away(std::size_t number, bool is_turned_away)
    {
        const std::lock_guard lock(mutex_);
        ports_[number]->is_turned_away = is_turned_away;
        changed_.notify_all();
    }

    // Writes as the operator or a server does.
    void put(const std::string& key, const json& value)
    {
        const std::lock_guard lock(mutex_);
        set(key, to_base64_text(value.dump()), 0);
    }

    void erase(const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        remove(key);
    }

private:
    struct store_port
    {
        std::unique_ptr<case_listener> listener;
        bool is_turned_away = false;
    };

    struct store_item
    {
        std::string value; // base64
        std::uint64_t revision = 0;
        std::uint64_t created_at = 0;
        std::uint64_t lease = 0;
    };

    struct store_lease
    {
        double ttl = 0;
        double ends_at = 0;
    };

    void set(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        store_item& it = items_[key];
        it.value = value;
        it.revision = ++revision_;
        it.created_at = it.created_at == 0 ? revision_ : it.created_at;
        it.lease = lease;
        json event = item_json(key, it);
        events_.push_back({revision_, key, std::move(event)});
        changed_.notify_all();
    }

    void remove(const std::string& key)
    {
        if (items_.erase(key) > 0)
        {
            ++revision_;
            events_.push_back(
                {revision_,
                 key,
                 json{{"key", key}, {"revision", revision_}, {"deleted", true}}});
            changed_.notify_all();
        }
    }

    static json item_json(const std::string& key, const store_item& it)
    {
        return json{{"key", key},
                    {"value", it.value},
                    {"revision", it.revision},
                    {"created_at", it.created_at},
                    {"lease", it.lease}};
    }

    void end_lease(std::uint64_t id)
    {
        leases_.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, it] : items_)
        {
            if (it.lease == id)
            {
                keys.push_back(key);
            }
        }
        for (const std::string& key : keys)
        {
            remove(key);
        }
    }

    void expire_leases()
    {
        while (true)
        {
            pause_for(0.005);
            const std::lock_guard lock(mutex_);
            std::vector<std::uint64_t> ended;
            for (const auto& [id, it] : leases_)
            {
                if (seconds_now() >= it.ends_at)
                {
                    ended.push_back(id);
                }
            }
            for (const std::uint64_t id : ended)
            {
                end_lease(id);
            }
        }
    }

    static std::string query(const std::string& target, const std::string& name)
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos)
        {
            const std::size_t end = target.find('&', at + 1);
            const std::string part = target.substr(at + 1, end - at - 1);
            if (part.rfind(name + "=", 0) == 0)
            {
                std::string text;
                for (std::size_t n = name.size() + 1; n < part.size(); ++n)
                {
                    if (part[n] == '%')
                    {
                        text += static_cast<char>(
                            std::strtol(part.substr(n + 1, 2).c_str(), nullptr, 16));
                        n += 2;
                        continue;
                    }
                    text += part[n];
                }
                return text;
            }
            at = end;
        }
        return "";
    }

    std::string answer_to(const case_message& request, store_port& at)
    {
        pause_for(0.002);
        std::unique_lock lock(mutex_);
        const std::string refusal = make_answer(503, "{}", store_headers);
        if (at.is_turned_away)
        {
            return refusal;
        }
        const std::string path = request.target.substr(0, request.target.find('?'));
        if (path == "/camphorrock/kv-watch")
        {
            const std::string prefix = query(request.target, "prefix");
            const std::uint64_t after =
                std::strtoull(query(request.target, "after").c_str(), nullptr, 10);
            const double wait =
                std::atof(query(request.target, "wait_ms").c_str()) / 1000;
            const auto deadline =
                case_clock::now() + std::chrono::milliseconds(int(wait * 1000));
            json body;
            changed_.wait_until(lock,
                                deadline,
                                [&]
                                {
                                    body["events"] = events_after(prefix, after);
                                    return at.is_turned_away || !body["events"].empty();
                                });
            if (at.is_turned_away)
            {
                return refusal;
            }
            body["store_revision"] = revision_;
            return make_answer(200, body.dump(), store_headers);
        }
        int status = 200;
        const json body = execute(request, path, status);
        return make_answer(status, body.dump(), store_headers);
    }

    json events_after(const std::string& prefix, std::uint64_t after) const
    {
        json made = json::array();
        for (const store_event& it : events_)
        {
            if (it.revision > after && it.key.rfind(prefix, 0) == 0)
            {
                made.push_back(it.event);
            }
        }
        return made;
    }

    json execute(const case_message& request, const std::string& path, int& status)
    {
        if (path == "/camphorrock/kv-key")
        {
            const auto found = items_.find(query(request.target, "key"));
            if (found == items_.end())
            {
                status = 404;
                return json::object();
            }
            json made = item_json(found->first, found->second);
            made["store_revision"] = revision_;
            return made;
        }
        if (path == "/camphorrock/kv-range")
        {
            const std::string prefix = query(request.target, "prefix");
            json made{{"items", json::array()},
                      {"has_more", false},
                      {"store_revision", revision_}};
            for (const auto& [key, it] : items_)
            {
                if (key.rfind(prefix, 0) == 0)
                {
                    made["items"].push_back(item_json(key, it));
                }
            }
            return made;
        }
        if (path == "/camphorrock/kv-txn")
        {
            return transact(json::parse(request.body), status);
        }
        if (path == "/camphorrock/kv-lease")
        {
            const std::string text = json::parse(request.body)["ttl_time"];
            const std::uint64_t id = ++last_lease_;
            leases_[id] = {seconds_of(text), seconds_now() + seconds_of(text)};
            return json{{"lease", id}, {"ttl_time", text}};
        }
        const std::uint64_t id =
            std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto lease = leases_.find(id);
        if (lease == leases_.end())
        {
            status = 404;
            return json::object();
        }
        if (path.rfind("/camphorrock/kv-keep/", 0) == 0)
        {
            lease->second.ends_at = seconds_now() + lease->second.ttl;
            return json{
                {"ttl_time", std::to_string(int(lease->second.ttl * 1000)) + "ms"}};
        }
        end_lease(id);
        return json::object();
    }

    json transact(const json& body, int& status)
    {
        json current{{"items", json::array()}};
        for (const json& row : body["expect"])
        {
            const std::string key = row["key"];
            const auto found = items_.find(key);
            const std::uint64_t revision =
                found == items_.end() ? 0 : found->second.revision;
            status = revision != row["revision"].get<std::uint64_t>() ? 412 : status;
            if (found != items_.end())
            {
                current["items"].push_back(item_json(key, found->second));
            }
        }
        for (const json& row : body["set_keys"])
        {
            const std::uint64_t lease = row.value("lease", std::uint64_t{0});
            const bool is_ended = lease != 0 && leases_.count(lease) == 0;
            status = status == 200 && is_ended ? 404 : status;
        }
        if (status != 200)
        {
            return current;
        }
        for (const json& row : body["set_keys"])
        {
            set(row["key"], row["value"], row.value("lease", std::uint64_t{0}));
        }
        for (const json& key : body["delete_keys"])
        {
            remove(key);
        }
        return json{{"revision", revision_}};
    }

    struct store_event
    {
        std::uint64_t revision;
        std::string key;
        json event;
    };

    static constexpr const char* store_headers =
        "Content-Type: application/json\r\nStore-Era: 1\r\n";
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::unique_ptr<store_port>> ports_;
    std::map<std::string, store_item> items_;
    std::map<std::uint64_t, store_lease> leases_;
    std::vector<store_event> events_;
    std::uint64_t revision_ = 1;
    std::uint64_t last_lease_ = 0;
};

// What a server did, for the check of a rule.
struct key_hold
{
    unsigned first = 0;
    unsigned last = 0;
    std::uint64_t fence = 0;
    double begins = 0;
    double ends = 0; // at release or at the end of hold_time, whichever is earlier
};

struct case_run
{
    std::string id;
    std::string server;
    std::optional<unsigned> key;
    double begins = 0;
    double ends = 0; // 0 while it runs
};

// An order to a server, and what has come of it.
struct key_order_text
{
    bool is_grant = false;
    unsigned first = 0;
    unsigned last = 0;
    std::uint64_t fence = 0;
    double hold = 0;
    double arrived = 0;
};

// A server. The hooks may be set before start().
class case_server
{
public:
    case_server(case_record& record, std::string id, std::string service, bool is_keyed)
        : record_(record), id_(std::move(id)), service_(std::move(service)),
          is_keyed_(is_keyed)
    {
    }

    std::string answer_body;   // of requests; empty: a text with the id
    double order_time = 0.001; // until an order is carried out and answered

    // Returns true if the order gets no answer; it may be carried out later by
    // apply_late().
    std::function<bool(const key_order_text&)> leaves_unanswered;
    // Called when a request or an order has arrived on a connection. `last_answer` is the
    // last one sent there. Returns bytes to be sent at once, before its own answer.
    std::function<std::string(const case_message&, const std::string& last_answer)>
        extra_answer;
    // Serves a request in the place of the server; returns false to leave it to it.
    std::function<bool(const case_message&, case_connection&)> serve;

    void start(case_store& store)
    {
        store_ = &store;
        born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
        listener_ = std::make_unique<case_listener>(
            [this](const std::shared_ptr<case_connection>& it) { serve_all(it); });
        set_state("ready");
    }

    void set_state(const std::string& state)
    {
        is_leaving_ = state == "draining";
        store_->put("servers/" + id_,
                    json{{"service", service_},
                         {"address", "127.0.0.1:" + std::to_string(listener_->port())},
                         {"zone", "z"},
                         {"version", "v1"},
                         {"slots", 3},
                         {"state", state},
                         {"warmup_left", "0ms"},
                         {"sequence", ++sequence_},
                         {"born", born_}});
    }

    const std::string& id() const
    {
        return id_;
    }

    std::vector<key_hold> holds()
    {
        const std::lock_guard lock(mutex_);
        return holds_;
    }

    std::vector<case_run> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

    // The answers that it sent from `from` to `to`, extra ones left out.
    std::size_t answers_between(double from, double to)
    {
        const std::lock_guard lock(mutex_);
        return static_cast<std::size_t>(
            std::count_if(answered_at_.begin(),
                          answered_at_.end(),
                          [&](double at) { return from <= at && at <= to; }));
    }

    // Carries out a grant that got no answer. Its time counts from its arrival.
    void apply_late(const key_order_text& order)
    {
        const std::lock_guard lock(mutex_);
        record_.line(
            "%s carries out late: grant %u..%u fence %llu, arrived at %.3f, ends "
            "at %.3f",
            id_.c_str(),
            order.first,
            order.last,
            static_cast<unsigned long long>(order.fence),
            order.arrived,
            order.arrived + order.hold);
        if (order.arrived + order.hold > seconds_now())
        {
            holds_.push_back({order.first,
                              order.last,
                              order.fence,
                              seconds_now(),
                              order.arrived + order.hold});
        }
    }

private:
    void serve_all(const std::shared_ptr<case_connection>& connection)
    {
        std::string last_answer;
        while (auto request = connection->read_message(false))
        {
            if (extra_answer)
            {
                const std::string extra = extra_answer(*request, last_answer);
                if (!extra.empty() && !connection->write(extra))
                {
                    return;
                }
            }
            if (serve && serve(*request, *connection))
            {
                return;
            }
            const bool is_order = request->target == "/camphorrock/grant" ||
                                  request->target == "/camphorrock/release";
            const std::optional<std::string> answer =
                is_order ? carry_out(*request) : run(*request, *connection);
            if (!answer)
            {
                // Without an answer; the connection returns nothing further.
                while (!connection->is_closed_by_peer())
                {
                    pause_for(0.01);
                }
                return;
            }
            last_answer = *answer;
            {
                const std::lock_guard lock(mutex_);
                answered_at_.push_back(seconds_now());
            }
            if (!connection->write(*answer))
            {
                return;
            }
        }
    }

    std::string common_headers() const
    {
        return std::string("Instance-Id: ") + id_ + "\r\n" +
               (is_leaving_ ? "Server-Leaving: 1\r\n" : "");
    }

    bool is_running(unsigned first, unsigned last) const
    {
        return std::any_of(runs_.begin(),
                           runs_.end(),
                           [&](const case_run& it) {
                               return it.ends == 0 && it.key && *it.key >= first &&
                                      *it.key <= last;
                           });
    }

    std::optional<std::string> carry_out(const case_message& request)
    {
        const json body = json::parse(request.body);
        key_order_text order;
        order.is_grant = request.target == "/camphorrock/grant";
        order.first = body["from"];
        order.last = body["to"];
        order.fence = body["fence"];
        order.arrived = seconds_now();
        order.hold = order.is_grant ? seconds_of(body["hold_time"]) : 0;
        const char* name = order.is_grant ? "grant" : "release";
        const auto fence = static_cast<unsigned long long>(order.fence);
        const std::string expected = request.header("Target-Instance");
        if (!expected.empty() && expected != id_)
        {
            return make_answer(421, "", common_headers());
        }
        if (leaves_unanswered && leaves_unanswered(order))
        {
            record_.line(
                "%s gets %s %u..%u fence %llu hold %.3f and leaves it unanswered",
                id_.c_str(),
                name,
                order.first,
                order.last,
                fence,
                order.hold);
            return std::nullopt;
        }
        pause_for(order_time);
        std::unique_lock lock(mutex_);
        bool is_stale = false;
        for (const key_hold& it : seen_)
        {
            const bool overlaps = it.first <= order.last && order.first <= it.last;
            is_stale = is_stale || (overlaps && it.fence > order.fence);
        }
        if (order.is_grant && is_stale)
        {
            record_.line("%s answers 409 to grant fence %llu", id_.c_str(), fence);
            return make_answer(409, "", common_headers());
        }
        const double now = seconds_now();
        if (!is_stale)
        {
            seen_.push_back({order.first, order.last, order.fence, now, now});
            drop(order.first, order.last, now);
        }
        if (order.is_grant)
        {
            holds_.push_back(
                {order.first, order.last, order.fence, now, order.arrived + order.hold});
            record_.line("%s carries out grant %u..%u fence %llu hold %.3f",
                         id_.c_str(),
                         order.first,
                         order.last,
                         fence,
                         order.hold);
            return make_answer(200, "", common_headers());
        }
        record_.line("%s carries out release %u..%u fence %llu, at work there: %s",
                     id_.c_str(),
                     order.first,
                     order.last,
                     fence,
                     is_running(order.first, order.last) ? "yes" : "no");
        idle_.wait(lock, [&] { return !is_running(order.first, order.last); });
        record_.line("%s answers release fence %llu", id_.c_str(), fence);
        return make_answer(200, "", common_headers() + "Handover: of-" + id_ + "\r\n");
    }

    // Ends the holds of the keys, and keeps those of the keys beside.
    void drop(unsigned first, unsigned last, double now)
    {
        std::vector<key_hold> rest;
        for (key_hold& it : holds_)
        {
            const bool is_hit = it.ends > now && it.first <= last && first <= it.last;
            if (!is_hit)
            {
                continue;
            }
            key_hold below = it;
            key_hold above = it;
            if (it.first < first)
            {
                below.last = first - 1;
                below.begins = now;
                rest.push_back(below);
            }
            if (it.last > last)
            {
                above.first = last + 1;
                above.begins = now;
                rest.push_back(above);
            }
            it.ends = now;
        }
        holds_.insert(holds_.end(), rest.begin(), rest.end());
    }

    bool holds_key(unsigned key) const
    {
        const double now = seconds_now();
        return std::any_of(holds_.begin(),
                           holds_.end(),
                           [&](const key_hold& it) {
                               return it.first <= key && key <= it.last && now < it.ends;
                           });
    }

    // The target states the time of the work: /prefix/work-MS/...
    std::optional<std::string> run(const case_message& request, case_connection& from)
    {
        const std::string id = request.header("Request-Id");
        const std::string key_text = request.header("Shard-Key");
        const std::string echo = "Request-Id: " + id + "\r\n" + common_headers();
        const std::string expected = request.header("Target-Instance");
        case_run made{id, id_, {}, 0, 0};
        std::size_t index = 0;
        {
            const std::lock_guard lock(mutex_);
            if (is_keyed_)
            {
                made.key = static_cast<unsigned>(std::atoi(key_text.c_str()));
            }
            const bool is_other = !expected.empty() && expected != id_;
            if (is_other || (made.key && !holds_key(*made.key)))
            {
                record_.line("%s answers 421 to %s key %s",
                             id_.c_str(),
                             id.c_str(),
                             key_text.c_str());
                return make_answer(421, "", echo + "Not-Executed: 1\r\n");
            }
            made.begins = seconds_now();
            index = runs_.size();
            runs_.push_back(made);
            record_.line(
                "%s begins to run %s key %s", id_.c_str(), id.c_str(), key_text.c_str());
        }
        const std::size_t work = request.target.find("work-");
        const double seconds = work == std::string::npos
                                   ? 0.005
                                   : std::atof(request.target.c_str() + work + 5) / 1000;
        const double end = seconds_now() + seconds;
        bool is_dropped = false;
        while (seconds_now() < end && !is_dropped)
        {
            pause_for(std::min(0.005, seconds));
            is_dropped = from.is_closed_by_peer();
        }
        const std::lock_guard lock(mutex_);
        runs_[index].ends = seconds_now();
        idle_.notify_all();
        record_.line("%s ends its run of %s%s",
                     id_.c_str(),
                     id.c_str(),
                     is_dropped ? ", whose connection has closed" : "");
        return make_answer(200,
                           answer_body.empty() ? id_ + " ran " + id : answer_body,
                           echo + "Response-Signature: signed." + id_ + "\r\n");
    }

    case_record& record_;
    std::string id_;
    std::string service_;
    bool is_keyed_;
    case_store* store_ = nullptr;
    std::int64_t born_ = 0;
    unsigned sequence_ = 0;
    std::atomic<bool> is_leaving_{false};
    std::mutex mutex_;
    std::condition_variable idle_; // notified after each run
    std::vector<key_hold> holds_;
    std::vector<key_hold> seen_; // all orders that were carried out
    std::vector<case_run> runs_;
    std::vector<double> answered_at_;
    std::unique_ptr<case_listener> listener_;
};

// A process of the gateway, started with the command of the deploy file.
class case_gateway
{
public:
    case_gateway(std::string program,
                 const std::string& folder,
                 const std::string& id,
                 int store_port)
        : listen_(free_port()), ready_(free_port())
    {
        const std::string config = folder + "/" + id + ".yaml";
        std::FILE* file = std::fopen(config.c_str(), "w");
        std::fprintf(file,
                     "id: %s\nzone: z\nlisten: 127.0.0.1:%d\nready: 127.0.0.1:%d\n"
                     "peer: 127.0.0.1:%d\nmetrics: 127.0.0.1:%d\nstore: 127.0.0.1:%d\n"
                     "processors: 0.2\n"
                     "bounds:\n  - \"drain=2000ms\"\n  - \"grace=6s\"\n"
                     "  - \"hold_max=10000ms\"\n  - \"retry_budget_ratio=0.2\"\n"
                     "  - \"budget_window=10s\"\n  - \"retry_budget_slack=58\"\n",
                     id.c_str(),
                     listen_,
                     ready_,
                     free_port(),
                     free_port(),
                     store_port);
        std::fclose(file);
        const std::string log = folder + "/" + id + ".log";
        pid_ = fork();
        if (pid_ == 0)
        {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // none is left if the case ends early
            if (std::freopen(log.c_str(), "w", stdout) == nullptr)
            {
                _exit(2);
            }
            dup2(fileno(stdout), STDERR_FILENO);
            execl(program.c_str(),
                  program.c_str(),
                  "--config",
                  config.c_str(),
                  static_cast<char*>(nullptr));
            _exit(2);
        }
    }

    ~case_gateway()
    {
        end();
    }

    case_gateway(const case_gateway&) = delete;
    case_gateway& operator=(const case_gateway&) = delete;

    int port() const
    {
        return listen_;
    }

    pid_t pid() const
    {
        return pid_;
    }

    bool is_ready() const
    {
        const std::unique_ptr<case_connection> it = case_connection::open(ready_);
        if (!it || !it->write("GET /camphorrock/ready HTTP/1.1\r\nHost: r\r\n\r\n"))
        {
            return false;
        }
        const std::optional<case_message> got = it->read_message(true, 1);
        return got && got->status == 200;
    }

    // Ends the case if the gateway isn't ready after 20 s.
    void wait_ready() const
    {
        for (int n = 0; n < 200; ++n)
        {
            if (is_ready())
            {
                return;
            }
            pause_for(0.1);
        }
        std::fprintf(stderr, "a gateway is not ready after 20 s\n");
        kill(pid_, SIGKILL);
        std::exit(2);
    }

    void end()
    {
        if (pid_ > 0)
        {
            kill(pid_, SIGCONT);
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

private:
    int listen_;
    int ready_;
    pid_t pid_ = -1;
};

// The answer to one client attempt; status 0: the connection ended without a whole one.
struct client_answer
{
    int status = 0;
    std::string body;
    double sent = 0;
    double answered = 0;
};

inline std::string request_text(const std::string& method,
                                const std::string& path,
                                const std::string& id,
                                std::optional<unsigned> key,
                                unsigned time_limit_ms,
                                const std::string& body = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: case.example\r\nRequest-Id: " + id +
           "\r\nTimeout-Remaining: " + std::to_string(time_limit_ms) + "\r\n" +
           (key ? "Shard-Key: " + std::to_string(*key) + "\r\n" : "") +
           (body.empty() && method == "GET"
                ? ""
                : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

// Sends one request on a new connection, and waits for the answer until its time limit.
inline client_answer send_once(case_record& record,
                               int port,
                               const std::string& method,
                               const std::string& path,
                               const std::string& id,
                               std::optional<unsigned> key,
                               unsigned time_limit_ms,
                               const std::string& body = "")
{
    client_answer made;
    made.sent = seconds_now();
    const std::unique_ptr<case_connection> it = case_connection::open(port);
    const bool is_sent =
        it && it->write(request_text(method, path, id, key, time_limit_ms, body));
    const std::optional<case_message> got =
        is_sent ? it->read_message(true, time_limit_ms / 1000.0) : std::nullopt;
    made.answered = seconds_now();
    made.status = got ? got->status : 0;
    made.body = got ? got->body : "";
    record.line("client: %s %s key %d -> %d after %.3f s",
                method.c_str(),
                id.c_str(),
                key ? static_cast<int>(*key) : -1,
                made.status,
                made.answered - made.sent);
    return made;
}

// A configuration with one route and one service.
inline json one_route_config(const std::string& kind, bool is_keyed, const char* timeout)
{
    return json{{"version", 1},
                {"routes",
                 {{"look",
                   {{"host", "case.example"},
                    {"prefix", "/look/"},
                    {"kind", kind},
                    {"timeout", timeout},
                    {"target_latency", "2000ms"},
                    {"priority", 1},
                    {"service", "shelf"},
                    {"max_attempts", 2}}}}},
                {"services",
                 {{"shelf",
                   {{"health_path", "/health"},
                    {"max_connections", 110},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"sharded", is_keyed},
                    {"warm", "3s"},
                    {"grants", "request"}}}}},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 67108864},
                  {"header_timeout", "3000ms"},
                  {"idle_timeout", "15000ms"}}}};
}

// The arguments of a case: PROGRAM FOLDER, and the variable TROUBLE.
struct case_arguments
{
    std::string program;
    std::string folder; // temporary
    std::string record;
    bool has_trouble = true;
};

inline case_arguments read_arguments(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    if (argc != 4)
    {
        std::fprintf(stderr, "usage: %s GATEWAY TEMPORARY_FOLDER RECORD\n", argv[0]);
        std::exit(2);
    }
    const char* trouble = std::getenv("TROUBLE");
    return {argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
}

} // namespace review
