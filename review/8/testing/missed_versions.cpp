// Case 8. A gateway is cut off from the store for some seconds while the operator writes
// versions of a configuration with many routes. See claim.txt.

#include "../../common_2/testing/stand_in.hpp"

using namespace review_two;

namespace
{

constexpr const char* host = "h.example";
constexpr int idle_routes = 1400;
constexpr int versions = 21; // in the storm
constexpr std::int64_t version_gap_ms = 170;
constexpr std::int64_t cut_ms = 4000;
// stable_window and config_apply of the site file, after the end of the cut.
constexpr std::int64_t stable_window_ms = 3000;
constexpr std::int64_t config_apply_ms = 2500;
constexpr std::int64_t watched_ms = 15000; // from then on

// `moved`: the route /stock/ leads to the new service.
std::string config_text(int version, bool moved)
{
    nlohmann::json made;
    made["version"] = version;
    const auto route = [&](const std::string& prefix, const std::string& service)
    {
        return nlohmann::json{{"host", host},
                              {"prefix", prefix},
                              {"kind", "safe"},
                              {"timeout", "2000ms"},
                              {"target_latency", "500ms"},
                              {"priority", 2},
                              {"service", service},
                              {"max_attempts", 2}};
    };
    made["routes"]["stock"] = route("/stock/", moved ? "new-stock" : "old-stock");
    for (int n = 0; n < idle_routes; ++n)
    {
        const std::string name = "r-" + std::to_string(1000 + n);
        made["routes"][name] =
            route("/idle-" + std::to_string(version) + "-" + std::to_string(n) + "/",
                  "old-stock");
    }
    for (const char* it : {"old-stock", "new-stock"})
    {
        made["services"][it] = {{"health_path", "/health"}, {"max_connections", 110}};
    }
    made["limits"] = {{"max_header_bytes", 16384},
                      {"max_body_bytes", 67108864},
                      {"header_timeout", "3000ms"},
                      {"idle_timeout", "15000ms"}};
    return made.dump();
}

// Passes connections on to the store, unless it is cut; it then refuses them.
class store_path
{
public:
    explicit store_path(int store_port) : store_port_(store_port)
    {
        const auto [fd, port] = listen_at(free_port());
        port_ = port;
        accept_on(fd, [this](int one) { pass_on(one); });
    }

    int port() const
    {
        return port_;
    }

    void cut(bool is_cut)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_cut_ = is_cut;
        for (const int fd : is_cut ? open_ : std::vector<int>{})
        {
            shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void pass_on(int client)
    {
        const int server = is_cut_ ? -1 : connect_to(store_port_);
        if (server < 0)
        {
            close(client);
            return;
        }
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            open_.push_back(client);
            open_.push_back(server);
        }
        std::thread back([=] { copy(server, client); });
        copy(client, server);
        back.join();
        const std::lock_guard<std::mutex> lock(mutex_);
        std::erase(open_, client);
        std::erase(open_, server);
        close(client);
        close(server);
    }

    static void copy(int from, int to)
    {
        char buf[65536];
        while (true)
        {
            const ssize_t n = recv(from, buf, sizeof buf, 0);
            if (n <= 0 || !send_all(to, {buf, static_cast<std::size_t>(n)}))
            {
                break;
            }
        }
        shutdown(from, SHUT_RDWR);
        shutdown(to, SHUT_RDWR);
    }

    int store_port_;
    int port_ = 0;
    std::mutex mutex_;
    std::atomic<bool> is_cut_{false};
    std::vector<int> open_;
};

// A server that answers at once; the body names its service.
int start_server(const std::string& id, const std::string& service)
{
    const auto [fd, port] = listen_at(free_port());
    accept_on(fd,
              [id, service](int one)
              {
                  wire_reader in(one);
                  wire_message got;
                  while (in.read_head(got) && in.read_body(got))
                  {
                      const std::string request = got.header_or("Request-Id", "-");
                      const bool is_own = got.header_or("Target-Instance", id) == id;
                      const std::string head =
                          is_own ? "HTTP/1.1 200 OK\r\nResponse-Signature: sig." + request
                                 : "HTTP/1.1 421 -\r\nNot-Executed: 1";
                      if (!send_all(one,
                                    head + "\r\nRequest-Id: " + request +
                                        "\r\nContent-Length: " +
                                        std::to_string(service.size()) + "\r\n\r\n" +
                                        service))
                      {
                          break;
                      }
                  }
                  close(one);
              });
    return port;
}

answer_seen ask(int port, const std::string& id)
{
    const int fd = connect_to(port);
    if (fd < 0)
    {
        return {};
    }
    send_all(fd,
             "GET /stock/" + id + " HTTP/1.1\r\nHost: " + std::string(host) +
                 "\r\nRequest-Id: " + id + "\r\nTimeout-Remaining: 800\r\n\r\n");
    wire_reader in(fd);
    answer_seen got = read_answer(in);
    close(fd);
    return got;
}

int run_case(const std::string& folder, const std::string& tmp)
{
    review_record record(folder + "/record.txt");
    store_stand_in& store = *new store_stand_in; // its threads run until the exit
    store.put("op/config", config_text(1, false));
    record.add("a configuration has " + std::to_string(config_text(1, false).size()) +
               " bytes");
    for (const char* service : {"old-stock", "new-stock"})
    {
        for (int n = 1; n <= 3; ++n)
        {
            const std::string id = std::string(service) + std::to_string(n);
            store.put("servers/" + id,
                      entry_of(service, start_server(id, service), unix_ms()));
        }
    }
    store_path& path = *new store_path(store.port());
    child_process gateways[2];
    gateway_ports at[2];
    for (int n = 0; n < 2; ++n)
    {
        const std::string id = "g" + std::to_string(n + 1);
        const std::string file = tmp + "/" + id;
        at[n] = write_settings(file + ".yaml", id, n == 0 ? path.port() : store.port());
        gateways[n].start({"target/camphorrock-gateway", "--config", file + ".yaml"},
                          file + ".jsonl");
    }
    for (const gateway_ports& it : at)
    {
        if (!wait_ready(it))
        {
            record.add("a gateway is not ready");
            return 2;
        }
    }
    pause_for(3000);
    const bool is_cut = has_trouble();
    const std::int64_t begun = now_ms();
    if (is_cut)
    {
        path.cut(true);
        record.add("g1 is cut off from the store");
    }
    pause_for(50);
    int version = 1;
    for (int n = 1; n <= versions; ++n)
    {
        version += 2;
        store.put("op/config", config_text(version, n == versions));
        pause_for(version_gap_ms);
    }
    record.add("version " + std::to_string(version) +
               ", which moves /stock/ to new-stock, has been confirmed");
    pause_for(std::max<std::int64_t>(begun + cut_ms - now_ms(), 0));
    path.cut(false);
    record.add("g1 reaches the store again");
    pause_for(stable_window_ms + config_apply_ms);
    int old_runs[2] = {0, 0};
    int new_runs[2] = {0, 0};
    std::string last[2];
    const std::int64_t end = now_ms() + watched_ms;
    for (int n = 0; now_ms() < end; ++n)
    {
        for (int g = 0; g < 2; ++g)
        {
            const std::string id = "q" + std::to_string(g + 1) + "-" + std::to_string(n);
            const answer_seen got = ask(at[g].listen, id);
            const std::string by =
                std::to_string(got.status) + " run by " +
                (got.status == 200 ? got.message.body : std::string("no service"));
            old_runs[g] += got.status == 200 && got.message.body == "old-stock" ? 1 : 0;
            new_runs[g] += got.status == 200 && got.message.body == "new-stock" ? 1 : 0;
            if (by != last[g])
            {
                record.add(id + " at g" + std::to_string(g + 1) + ": " + by);
            }
            last[g] = by;
        }
        pause_for(100);
    }
    for (int g = 0; g < 2; ++g)
    {
        record.add("g" + std::to_string(g + 1) + ": " + std::to_string(old_runs[g]) +
                   " requests run by the old service, " + std::to_string(new_runs[g]) +
                   " by the new one");
    }
    gateways[0].stop(SIGTERM);
    gateways[1].stop(SIGTERM);
    if (new_runs[1] == 0)
    {
        return 2;
    }
    return old_runs[0] + old_runs[1] > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv, argv + argc);
    std::_Exit(words.size() == 3 ? run_case(words[1], words[2]) : 2);
}
