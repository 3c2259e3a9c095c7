#pragma once

// Stand-ins for the scripts of review/6 to review/10: the platform's store, servers and
// clients, on loopback addresses with blocking sockets and a thread for each connection;
// and the start of gateways as processes. Header only, so that each case is one program.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review_two
{

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline std::int64_t now_ms()
{
    static const steady::time_point start = steady::now();
    return std::chrono::duration_cast<ms>(steady::now() - start).count();
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<ms>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void pause_for(std::int64_t span_ms)
{
    std::this_thread::sleep_for(ms(span_ms));
}

// The file record.txt of a case; lines begin with the time in milliseconds.
class review_record
{
public:
    explicit review_record(const std::string& path) : out_(path, std::ios::trunc) {}

    void add(const std::string& line)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        out_ << now_ms() << " " << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

struct wire_message
{
    std::string first[3]; // of the first line: method, target / version, status, reason
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::optional<std::string> header(std::string_view name) const
    {
        for (const auto& [key, value] : headers)
        {
            if (key.size() == name.size() &&
                strncasecmp(key.data(), name.data(), name.size()) == 0)
            {
                return value;
            }
        }
        return std::nullopt;
    }

    std::string header_or(std::string_view name, const std::string& other) const
    {
        return header(name).value_or(other);
    }

    std::size_t length() const
    {
        return static_cast<std::size_t>(
            std::strtoull(header_or("Content-Length", "0").c_str(), nullptr, 10));
    }
};

// Reads messages from a blocking socket.
class wire_reader
{
public:
    explicit wire_reader(int fd) : fd_(fd) {}

    // Returns false at the end of the connection.
    bool read_head(wire_message& it)
    {
        std::size_t end = std::string::npos;
        while ((end = buf_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!fill())
            {
                return false;
            }
        }
        const std::string head = buf_.substr(0, end + 2);
        buf_.erase(0, end + 4);
        it = {};
        std::size_t at = 0;
        bool is_first = true;
        while (at < head.size())
        {
            const std::size_t stop = head.find("\r\n", at);
            const std::string line = head.substr(at, stop - at);
            at = stop + 2;
            if (is_first)
            {
                is_first = false;
                const std::size_t a = line.find(' ');
                const std::size_t b = line.find(' ', a + 1);
                it.first[0] = line.substr(0, a);
                it.first[1] = a == std::string::npos ? "" : line.substr(a + 1, b - a - 1);
                it.first[2] = b == std::string::npos ? "" : line.substr(b + 1);
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos)
            {
                std::size_t begin = line.find_first_not_of(' ', colon + 1);
                begin = begin == std::string::npos ? line.size() : begin;
                it.headers.emplace_back(line.substr(0, colon), line.substr(begin));
            }
        }
        return true;
    }

    // Appends `n` bytes to `to`. Returns false if the connection ends before.
    bool read_bytes(std::size_t n, std::string& to)
    {
        while (buf_.size() < n)
        {
            if (!fill())
            {
                return false;
            }
        }
        to.append(buf_, 0, n);
        buf_.erase(0, n);
        return true;
    }

    bool read_body(wire_message& it)
    {
        return read_bytes(it.length(), it.body);
    }

    int error() const
    {
        return error_;
    }

private:
    bool fill()
    {
        char part[65536];
        const ssize_t n = recv(fd_, part, sizeof part, 0);
        if (n > 0)
        {
            buf_.append(part, static_cast<std::size_t>(n));
            return true;
        }
        error_ = n < 0 ? errno : 0;
        return false;
    }

    int fd_;
    int error_ = 0;
    std::string buf_;
};

inline bool send_all(int fd, std::string_view bytes)
{
    while (!bytes.empty())
    {
        const ssize_t n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

inline sockaddr_in loopback_at(int port)
{
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(port));
    it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return it;
}

// Returns a listening descriptor and its port; port 0 takes a free one.
inline std::pair<int, int> listen_at(int port = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = loopback_at(port);
    socklen_t size = sizeof at;
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(fd, 512) != 0)
    {
        close(fd);
        return {-1, 0};
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return {fd, ntohs(at.sin_port)};
}

inline int connect_to(int port, int receive_bytes = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_bytes > 0)
    {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
    }
    const sockaddr_in at = loopback_at(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
    {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

// Accepts connections and calls `handle` with each one, in a thread of its own. The
// handler closes it.
inline void accept_on(int fd, std::function<void(int)> handle)
{
    std::thread(
        [fd, handle = std::move(handle)]
        {
            while (true)
            {
                const int one = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (one < 0)
                {
                    if (errno == EINTR || errno == ECONNABORTED)
                    {
                        continue;
                    }
                    return;
                }
                const int on = 1;
                setsockopt(one, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread(handle, one).detach();
            }
        })
        .detach();
}

inline std::string base64_of(std::string_view bytes)
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string made;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        std::uint32_t bits = 0;
        const std::size_t n = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t i = 0; i < 3; ++i)
        {
            bits = bits << 8 | (i < n ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        }
        for (std::size_t i = 0; i < 4; ++i)
        {
            made += i <= n ? digits[bits >> (18 - 6 * i) & 63] : '=';
        }
    }
    return made;
}

inline std::string query_of(const std::string& target, const std::string& name)
{
    const std::size_t mark = target.find('?');
    std::size_t at = mark == std::string::npos ? target.size() : mark + 1;
    while (at < target.size())
    {
        std::size_t end = target.find('&', at);
        end = end == std::string::npos ? target.size() : end;
        const std::string part = target.substr(at, end - at);
        at = end + 1;
        const std::size_t equals = part.find('=');
        if (part.substr(0, equals) != name || equals == std::string::npos)
        {
            continue;
        }
        std::string value;
        for (std::size_t i = equals + 1; i < part.size(); ++i)
        {
            if (part[i] == '%' && i + 2 < part.size())
            {
                value += static_cast<char>(
                    std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            }
            else
            {
                value += part[i];
            }
        }
        return value;
    }
    return "";
}

// The platform's store: items, pages, watches, transactions and leases, as PROTOCOL.md
// has them. Its answers are linearizable.
class store_stand_in
{
public:
    store_stand_in()
    {
        const auto [fd, port] = listen_at();
        port_ = port;
        accept_on(fd, [this](int one) { serve(one); });
        std::thread(
            [this]
            {
                while (true)
                {
                    pause_for(10);
                    const std::lock_guard<std::mutex> lock(mutex_);
                    expire();
                }
            })
            .detach();
    }

    int port() const
    {
        return port_;
    }

    // What the operator and the servers write.
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++revision_;
        set(key, base64_of(value), 0);
        changed_.notify_all();
    }

    void remove(const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++revision_;
        erase(key);
        changed_.notify_all();
    }

    std::string value_of(const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = items_.find(key);
        return found == items_.end() ? "" : found->second.value;
    }

    // Called with each call before it is answered; false: the connection is closed
    // without an answer. May wait.
    std::function<bool(const wire_message&)> before_answer;

private:
    struct item
    {
        std::string value; // base64
        std::uint64_t revision = 0;
        std::uint64_t created_at = 0;
        std::uint64_t lease = 0;
    };

    struct lease
    {
        std::int64_t ttl_ms = 0;
        std::int64_t ends_at = 0;
    };

    struct event
    {
        std::int64_t written_at;
        std::uint64_t revision;
        std::string key;
        nlohmann::json row;
    };

    nlohmann::json row_of(const std::string& key, const item& it) const
    {
        return {{"key", key},
                {"value", it.value},
                {"revision", it.revision},
                {"created_at", it.created_at},
                {"lease", it.lease}};
    }

    void set(const std::string& key, const std::string& value, std::uint64_t lease_id)
    {
        item& it = items_[key];
        it.created_at = it.created_at == 0 ? revision_ : it.created_at;
        it.value = value;
        it.revision = revision_;
        it.lease = lease_id;
        events_.push_back({now_ms(), revision_, key, row_of(key, it)});
    }

    void erase(const std::string& key)
    {
        if (items_.erase(key) > 0)
        {
            events_.push_back(
                {now_ms(),
                 revision_,
                 key,
                 {{"key", key}, {"revision", revision_}, {"deleted", true}}});
        }
    }

    void end_lease(std::uint64_t id)
    {
        leases_.erase(id);
        std::vector<std::string> gone;
        for (const auto& [key, it] : items_)
        {
            if (it.lease == id)
            {
                gone.push_back(key);
            }
        }
        revision_ += gone.empty() ? 0 : 1;
        for (const std::string& key : gone)
        {
            erase(key);
        }
        changed_.notify_all();
    }

    void expire()
    {
        std::vector<std::uint64_t> ended;
        for (const auto& [id, it] : leases_)
        {
            if (now_ms() >= it.ends_at)
            {
                ended.push_back(id);
            }
        }
        for (const std::uint64_t id : ended)
        {
            end_lease(id);
        }
        while (!events_.empty() && now_ms() - events_.front().written_at > history_ms)
        {
            dropped_ = events_.front().revision;
            events_.pop_front();
        }
    }

    void serve(int fd)
    {
        wire_reader in(fd);
        wire_message got;
        while (in.read_head(got) && in.read_body(got))
        {
            if (before_answer && !before_answer(got))
            {
                break;
            }
            const auto [status, body] = answer(got);
            const std::string text = body.dump();
            const std::string head =
                "HTTP/1.1 " + std::to_string(status) +
                " -\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                "Content-Length: " +
                std::to_string(text.size()) + "\r\n\r\n";
            if (!send_all(fd, head + text))
            {
                break;
            }
        }
        close(fd);
    }

    std::pair<int, nlohmann::json> answer(const wire_message& got)
    {
        const std::string& target = got.first[1];
        const std::string path = target.substr(0, target.find('?'));
        std::unique_lock<std::mutex> lock(mutex_);
        expire();
        if (path == "/camphorrock/kv-key")
        {
            const std::string key = query_of(target, "key");
            const auto found = items_.find(key);
            nlohmann::json row = found == items_.end() ? nlohmann::json::object()
                                                       : row_of(key, found->second);
            row["store_revision"] = revision_;
            return {found == items_.end() ? 404 : 200, row};
        }
        if (path == "/camphorrock/kv-range")
        {
            return {200, range(query_of(target, "prefix"), query_of(target, "after"))};
        }
        if (path == "/camphorrock/kv-watch")
        {
            return watch(lock, target);
        }
        if (path == "/camphorrock/kv-txn")
        {
            return transact(nlohmann::json::parse(got.body));
        }
        if (path == "/camphorrock/kv-lease")
        {
            const std::string ttl = nlohmann::json::parse(got.body)["ttl_time"];
            const bool is_ms = ttl.find("ms") != std::string::npos;
            const auto span =
                static_cast<std::int64_t>(std::stod(ttl) * (is_ms ? 1 : 1000));
            const std::uint64_t id = ++last_lease_;
            leases_[id] = {span, now_ms() + span};
            return {200, {{"lease", id}, {"ttl_time", ttl}}};
        }
        const std::uint64_t id =
            std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto found = leases_.find(id);
        if (found == leases_.end())
        {
            return {404, nlohmann::json::object()};
        }
        if (path.find("/kv-keep/") != std::string::npos)
        {
            found->second.ends_at = now_ms() + found->second.ttl_ms;
            return {200, {{"ttl_time", std::to_string(found->second.ttl_ms) + "ms"}}};
        }
        end_lease(id);
        return {200, nlohmann::json::object()};
    }

    nlohmann::json range(const std::string& prefix, const std::string& after) const
    {
        nlohmann::json made = {{"items", nlohmann::json::array()},
                               {"has_more", false},
                               {"store_revision", revision_}};
        for (const auto& [key, it] : items_)
        {
            if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after))
            {
                continue;
            }
            if (made["items"].size() >= 500)
            {
                made["has_more"] = true;
                break;
            }
            made["items"].push_back(row_of(key, it));
        }
        return made;
    }

    std::pair<int, nlohmann::json> watch(std::unique_lock<std::mutex>& lock,
                                         const std::string& target)
    {
        const std::string prefix = query_of(target, "prefix");
        const std::uint64_t after =
            std::strtoull(query_of(target, "after").c_str(), nullptr, 10);
        const std::int64_t ends_at =
            now_ms() + std::strtoll(query_of(target, "wait_ms").c_str(), nullptr, 10);
        if (after > revision_)
        {
            return {410, nlohmann::json::object()};
        }
        while (true)
        {
            if (after < dropped_)
            {
                return {410, nlohmann::json::object()};
            }
            nlohmann::json rows = nlohmann::json::array();
            for (const event& it : events_)
            {
                if (it.revision > after && it.key.rfind(prefix, 0) == 0)
                {
                    rows.push_back(it.row);
                }
            }
            const std::int64_t left = ends_at - now_ms();
            if (!rows.empty() || left <= 0)
            {
                return {200, {{"events", rows}, {"store_revision", revision_}}};
            }
            changed_.wait_for(lock, ms(left));
        }
    }

    std::pair<int, nlohmann::json> transact(const nlohmann::json& body)
    {
        nlohmann::json items = nlohmann::json::array();
        bool is_met = true;
        for (const nlohmann::json& it : body.value("expect", nlohmann::json::array()))
        {
            const std::string key = it["key"];
            const auto found = items_.find(key);
            const std::uint64_t at = found == items_.end() ? 0 : found->second.revision;
            is_met = is_met && at == it["revision"].get<std::uint64_t>();
            if (found != items_.end())
            {
                items.push_back(row_of(key, found->second));
            }
        }
        if (!is_met)
        {
            return {412, {{"items", items}}};
        }
        const nlohmann::json sets = body.value("set_keys", nlohmann::json::array());
        for (const nlohmann::json& it : sets)
        {
            const std::uint64_t id = it.value("lease", std::uint64_t{0});
            if (id != 0 && leases_.count(id) == 0)
            {
                return {404, nlohmann::json::object()};
            }
        }
        ++revision_;
        for (const nlohmann::json& it : sets)
        {
            set(it["key"], it["value"], it.value("lease", std::uint64_t{0}));
        }
        for (const nlohmann::json& it :
             body.value("delete_keys", nlohmann::json::array()))
        {
            erase(it.get<std::string>());
        }
        changed_.notify_all();
        return {200, {{"revision", revision_}}};
    }

    static constexpr std::int64_t history_ms = 20000; // as the site files have it

    int port_ = 0;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 100;
    std::uint64_t dropped_ = 0; // the history after this revision is kept
    std::uint64_t last_lease_ = 1000;
    std::map<std::string, item> items_;
    std::map<std::uint64_t, lease> leases_;
    std::deque<event> events_;
};

// What a server writes to the store of itself.
inline std::string entry_of(const std::string& service,
                            int port,
                            std::int64_t born,
                            const std::string& state = "ready",
                            int sequence = 1)
{
    const nlohmann::json made = {{"service", service},
                                 {"address", "127.0.0.1:" + std::to_string(port)},
                                 {"zone", "zone-a"},
                                 {"version", "v1"},
                                 {"slots", 3},
                                 {"state", state},
                                 {"warmup_left", "0ms"},
                                 {"born", born},
                                 {"sequence", sequence}};
    return made.dump();
}

// A child process; its standard output goes to a file.
class child_process
{
public:
    child_process() = default;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    ~child_process()
    {
        stop(SIGKILL);
    }

    bool start(const std::vector<std::string>& words, const std::string& output)
    {
        std::vector<char*> args;
        for (const std::string& it : words)
        {
            args.push_back(const_cast<char*>(it.c_str()));
        }
        args.push_back(nullptr);
        pid_ = fork();
        if (pid_ == 0)
        {
            const int fd =
                open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            execv(args[0], args.data());
            _exit(127);
        }
        return pid_ > 0;
    }

    void signal_to(int number) const
    {
        if (pid_ > 0)
        {
            kill(pid_, number);
        }
    }

    // Sends the signal and waits for the end.
    void stop(int number)
    {
        if (pid_ > 0)
        {
            kill(pid_, number);
            waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

    // True if it runs.
    bool is_running()
    {
        if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
        {
            pid_ = -1;
        }
        return pid_ > 0;
    }

    pid_t pid() const
    {
        return pid_;
    }

private:
    pid_t pid_ = -1;
};

struct gateway_ports
{
    int listen = 0;
    int ready = 0;
    int peer = 0;
};

// Returns a port that is free and that the system gives to no outgoing connection.
inline int free_port()
{
    static int next = 12000 + static_cast<int>(getpid() * 37 % 18000);
    while (true)
    {
        next = next >= 30000 ? 12000 : next + 1;
        const auto [fd, port] = listen_at(next);
        if (fd >= 0)
        {
            close(fd);
            return port;
        }
    }
}

// The settings of a gateway, as deploy/gateway.yaml.in gives them.
inline gateway_ports write_settings(const std::string& path,
                                    const std::string& id,
                                    int store_port,
                                    unsigned memory_mb = 260)
{
    gateway_ports at;
    at.listen = free_port();
    at.ready = free_port();
    at.peer = free_port();
    std::ofstream out(path, std::ios::trunc);
    out << "id: \"" << id << "\"\nzone: \"zone-a\"\n"
        << "listen: \"127.0.0.1:" << at.listen << "\"\n"
        << "ready: \"127.0.0.1:" << at.ready << "\"\n"
        << "peer: \"127.0.0.1:" << at.peer << "\"\n"
        << "store: \"127.0.0.1:" << store_port << "\"\n"
        << "processors: 0.2\nbounds:\n"
        << "  - \"drain=2000ms\"\n  - \"grace=6s\"\n  - \"hold_max=10000ms\"\n"
        << "  - \"retry_budget_ratio=0.2\"\n  - \"budget_window=10s\"\n"
        << "  - \"retry_budget_slack=58\"\n  - \"memory_mb=" << memory_mb << "\"\n";
    return at;
}

struct answer_seen
{
    bool is_complete = false;
    int status = 0; // 0: no answer
    wire_message message;
};

// Reads one answer with a length.
inline answer_seen read_answer(wire_reader& in)
{
    answer_seen made;
    if (!in.read_head(made.message))
    {
        return made;
    }
    made.status = std::atoi(made.message.first[1].c_str());
    made.is_complete = in.read_body(made.message);
    return made;
}

// Waits until the gateway reports that it accepts clients.
inline bool wait_ready(const gateway_ports& at, std::int64_t limit_ms = 10000)
{
    const std::int64_t end = now_ms() + limit_ms;
    while (now_ms() < end)
    {
        const int fd = connect_to(at.ready);
        if (fd >= 0)
        {
            send_all(fd, "GET /camphorrock/ready HTTP/1.1\r\nHost: x\r\n\r\n");
            wire_reader in(fd);
            const answer_seen got = read_answer(in);
            close(fd);
            if (got.status == 200)
            {
                return true;
            }
        }
        pause_for(50);
    }
    return false;
}

inline bool has_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace review_two
