// A gateway is stopped while clients that send several requests at once read their
// answers over a slow link: do they get all answers to what was read and passed on?

#include "review/testing/stand_ins.hpp"

#include <set>

using namespace review;

namespace
{

constexpr unsigned depth = 6;            // requests sent before the first is answered
constexpr std::size_t body_bytes = 5000; // the mean answer of the sheets
constexpr unsigned client_count = 10;
constexpr unsigned time_limit_ms = 4000;
constexpr double link_bytes_per_second = 10e6 / 8 / client_count; // 10 Mbit/s for all
constexpr double term_at = 3;                                     // after the start

struct slow_client
{
    std::vector<std::string> answered; // ids, whole answers only
    std::vector<std::pair<std::string, double>> sent;
    bool was_closed = false; // by an answer with Connection: close
};

// Reads with small windows, at the speed of its link. Keeps `depth` requests on the way.
void run_client(case_record& record, unsigned number, int port, slow_client& made)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int window = 8192;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
    {
        return;
    }
    unsigned next = 0;
    const auto send_next = [&]
    {
        const std::string id =
            "look-" + std::to_string(number) + "-" + std::to_string(next++);
        const std::string text =
            request_text("GET", "/look/work-50/x", id, {}, time_limit_ms);
        made.sent.emplace_back(id, seconds_now());
        return send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(text.size());
    };
    for (unsigned n = 0; n < depth; ++n)
    {
        send_next();
    }
    std::string buffer;
    while (made.answered.size() < made.sent.size() && seconds_now() < 25)
    {
        char bytes[4096];
        const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            record.line(
                "client %u: the connection ends (%s) with %zu bytes of an answer; "
                "%zu of %zu requests are answered",
                number,
                n == 0 ? "closed" : "reset",
                buffer.size(),
                made.answered.size(),
                made.sent.size());
            break;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
        pause_for(static_cast<double>(n) / link_bytes_per_second);
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end == std::string::npos)
        {
            continue;
        }
        const std::string head = buffer.substr(0, end);
        made.was_closed =
            made.was_closed || head.find("Connection: close") != std::string::npos;
        const std::size_t length_at = head.find("Content-Length: ");
        const std::size_t length =
            std::strtoull(head.c_str() + length_at + 16, nullptr, 10);
        if (buffer.size() < end + 4 + length)
        {
            continue;
        }
        buffer.erase(0, end + 4 + length);
        const std::size_t id_at = head.find("Request-Id: ") + 12;
        made.answered.push_back(head.substr(id_at, head.find("\r\n", id_at) - id_at));
        // A client sends nothing after an answer that says that it closes the connection.
        if (!made.was_closed && seconds_now() < 10)
        {
            send_next();
        }
    }
    close(fd);
}

} // namespace

int main(int argc, char** argv)
{
    const case_arguments args = read_arguments(argc, argv);
    case_record record(args.record);
    case_store store;
    const std::size_t port = store.add_port();
    store.put("op/config", one_route_config("safe", false, "4s"));
    std::vector<std::unique_ptr<case_server>> servers;
    for (unsigned n = 0; n < 24; ++n)
    {
        servers.push_back(std::make_unique<case_server>(
            record, "i-" + std::to_string(n), "shelf", false));
        servers.back()->answer_body = std::string(body_bytes, 'x');
        servers.back()->start(store);
    }
    case_gateway gateway(args.program, args.folder, "g1", store.port(port));
    gateway.wait_ready();
    pause_for(1);

    std::vector<slow_client> clients(client_count);
    std::vector<std::thread> threads;
    const double start = seconds_now();
    for (unsigned n = 0; n < client_count; ++n)
    {
        threads.emplace_back([&, n]
                             { run_client(record, n, gateway.port(), clients[n]); });
    }
    pause_for(term_at);
    const double term = seconds_now();
    if (args.has_trouble)
    {
        record.line("SIGTERM to the gateway");
        kill(gateway.pid(), SIGTERM);
    }
    for (std::thread& it : threads)
    {
        it.join();
    }
    gateway.end();

    // When the last run of each request ended.
    std::map<std::string, double> run_ends;
    for (const std::unique_ptr<case_server>& it : servers)
    {
        for (const case_run& run : it->runs())
        {
            run_ends[run.id] = std::max(run_ends[run.id], run.ends);
        }
    }
    unsigned lost = 0;
    unsigned answered = 0;
    for (const slow_client& it : clients)
    {
        const std::set<std::string> whole(it.answered.begin(), it.answered.end());
        answered += static_cast<unsigned>(whole.size());
        for (const auto& [id, sent] : it.sent)
        {
            const bool is_passed_on = run_ends.count(id) > 0 && run_ends[id] > 0;
            // Later than that, the time limit or the grace period could be the reason.
            const bool is_early = sent < term + 3;
            if (is_passed_on && is_early && whole.count(id) == 0)
            {
                record.line("BROKEN: %s was sent at %.3f and passed on, its run ended at "
                            "%.3f, and its connection ended without a complete answer",
                            id.c_str(),
                            sent,
                            run_ends[id]);
                ++lost;
            }
        }
    }
    record.line("%u requests answered, %u lost; clients began at %.3f, SIGTERM at %.3f",
                answered,
                lost,
                start,
                term);
    std::printf("%u requests lost, %u answered\n", lost, answered);
    std::fflush(stdout);
    _exit(lost > 0 ? 1 : answered > 0 ? 0 : 2);
}
