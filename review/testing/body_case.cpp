// Clients send bodies within the operator's limit: does a gateway with the memory of the
// sheets live, and are the requests beside them answered?

#include "review/testing/stand_ins.hpp"

#include <fstream>

using namespace review;

namespace
{

constexpr unsigned time_limit_ms = 4000;
constexpr std::size_t memory_mb = 260;
constexpr std::size_t body_bytes = 64000000; // limits.max_body_bytes is 67108864
constexpr unsigned uploads = 3;              // at once
constexpr unsigned other_clients = 8;

// Resident memory of a process, in MB; 0 if it has ended.
std::size_t resident_mb(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (file >> word)
    {
        if (word == "VmRSS:")
        {
            std::size_t kb = 0;
            file >> kb;
            return kb / 1024;
        }
    }
    return 0;
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
    for (unsigned n = 0; n < 4; ++n)
    {
        servers.push_back(std::make_unique<case_server>(
            record, "i-" + std::to_string(n), "shelf", false));
        servers.back()->start(store);
    }
    case_gateway gateway(args.program, args.folder, "g1", store.port(port));
    gateway.wait_ready();
    pause_for(2);

    // The platform: "A process that exceeds memory_mb is killed."
    std::atomic<bool> is_over{false};
    std::atomic<std::size_t> most{0};
    std::atomic<bool> is_killed{false};
    std::thread platform(
        [&]
        {
            while (!is_over && !is_killed)
            {
                const std::size_t now = resident_mb(gateway.pid());
                most = std::max<std::size_t>(most, now);
                if (now > memory_mb)
                {
                    record.line("the platform kills the gateway, which uses %zu MB", now);
                    kill(gateway.pid(), SIGKILL);
                    is_killed = true;
                }
                pause_for(0.002);
            }
        });
    std::vector<std::thread> clients;
    std::atomic<unsigned> cut{0};
    std::atomic<unsigned> served{0};
    for (unsigned n = 0; n < other_clients; ++n)
    {
        clients.emplace_back(
            [&, n]
            {
                // Each client keeps its connection.
                const std::unique_ptr<case_connection> kept =
                    case_connection::open(gateway.port());
                for (unsigned k = 0; kept && k < 12; ++k)
                {
                    const std::string id =
                        "look-" + std::to_string(n) + "-" + std::to_string(k);
                    kept->write(
                        request_text("GET", "/look/work-300/x", id, {}, time_limit_ms));
                    const std::optional<case_message> got =
                        kept->read_message(true, time_limit_ms / 1000.0);
                    record.line("client: %s -> %d", id.c_str(), got ? got->status : 0);
                    cut += got ? 0 : 1;
                    served += got && got->status == 200 ? 1 : 0;
                    if (!got)
                    {
                        return;
                    }
                }
            });
    }
    pause_for(1);
    const std::size_t bytes = args.has_trouble ? body_bytes : 1000;
    const std::string body(bytes, 'x');
    std::atomic<unsigned> uploaded{0};
    for (unsigned n = 0; n < uploads; ++n)
    {
        clients.emplace_back(
            [&, n]
            {
                const client_answer got = send_once(record,
                                                    gateway.port(),
                                                    "POST",
                                                    "/look/work-300/x",
                                                    "upload-" + std::to_string(n),
                                                    {},
                                                    time_limit_ms,
                                                    body);
                uploaded += got.status == 200 ? 1 : 0;
            });
    }
    for (std::thread& it : clients)
    {
        it.join();
    }
    is_over = true;
    platform.join();
    gateway.end();
    // Of the requests that end without an answer, only those count whose server had begun
    // to run them.
    unsigned passed_on = 0;
    for (const std::unique_ptr<case_server>& it : servers)
    {
        for (const case_run& run : it->runs())
        {
            passed_on += run.id.rfind("look-", 0) == 0 ? 1 : 0;
        }
    }
    const unsigned lost = passed_on - served;
    record.line("most memory %zu MB; %u requests beside the bodies were served, %u ended "
                "without an answer, %u of them passed on; %u bodies were served",
                most.load(),
                served.load(),
                cut.load(),
                lost,
                uploaded.load());
    const bool is_broken = is_killed && lost > 3;
    std::printf("killed: %s, most memory %zu MB, %u requests lost\n",
                is_killed ? "yes" : "no",
                most.load(),
                lost);
    std::fflush(stdout);
    _exit(is_broken ? 1 : served > 0 ? 0 : 2);
}
