#pragma once

// The platform's store, as PROTOCOL.md and the news of the pages describe it: keys with
// revisions, leases, watches, transactions, and eras.

#include "http.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review3
{

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

class platform_store
{
public:
    explicit platform_store(int port = 0);

    int port() const
    {
        return server_->port();
    }

    // Serves at a further port. `on_check` is called with each poll of the prefix that
    // does not wait, once it is answered.
    void add_port(int port, std::string prefix, std::function<void()> on_check);
    // The next answer with changes to a waiting poll of the prefix at that port is lost:
    // it is not sent, and the connection returns nothing further.
    void lose_answer(int port, const std::string& prefix);
    // How many answers were lost.
    int lost_answers();

    // Writes of the operator and the upstreams, which need no lease.
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);
    std::optional<std::string> find(const std::string& key);

    // The store is away: it closes all connections without an answer.
    void set_away(bool is_away);
    // Keeps a copy, from which restore() brings the store back in the next era. Keys of
    // the prefixes "op/" and "servers/" are written again by their writers.
    void keep_copy();
    void restore();

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created_at = 0;
        std::uint64_t lease = 0;
    };
    struct event
    {
        std::uint64_t revision = 0;
        std::string key;
        bool is_deleted = false;
        item now;
    };
    struct lease_row
    {
        ms time_to_live{};
        steady::time_point ends_at{};
    };
    struct content
    {
        std::map<std::string, item> items;
        std::map<std::uint64_t, lease_row> leases;
        std::uint64_t revision = 100;
        std::uint64_t last_lease = 1000;
        std::deque<event> events;
        std::uint64_t first_known = 100; // events after it are known
    };

    wire_answer handle(const exchanged_message& request, const wire_peer& peer);
    wire_answer execute(const exchanged_message& request);
    wire_answer watch(const exchanged_message& request, const wire_peer& peer);
    void set(const std::string& key, const std::string& value, std::uint64_t lease);
    void remove(const std::string& key);
    void expire_leases();

    std::mutex lock_;
    std::condition_variable changed_;
    content now_;
    std::optional<content> copy_;
    std::uint64_t era_ = 1;
    bool is_away_ = false;
    std::vector<std::unique_ptr<wire_server>> more_ports_;
    std::set<std::pair<int, std::string>> to_lose_;
    int lost_answers_ = 0;
    std::unique_ptr<wire_server> server_;
};

} // namespace review3
