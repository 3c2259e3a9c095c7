#include "store.hpp"

#include <nlohmann/json.hpp>

#include <thread>
#include <vector>

namespace review3
{
namespace
{

using json = nlohmann::json;

constexpr const char* digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes)
{
    std::string made;
    for (std::size_t n = 0; n < bytes.size(); n += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            group = group << 8 |
                    (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            const bool is_padding = n + k > bytes.size();
            made += is_padding ? '=' : digits[group >> (18 - 6 * k) & 63];
        }
    }
    return made;
}

std::string from_base64(const std::string& text)
{
    std::string made;
    std::uint32_t group = 0;
    int bits = 0;
    for (char c : text)
    {
        const std::size_t value = std::string(digits).find(c);
        if (value == std::string::npos)
        {
            break;
        }
        group = group << 6 | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            made += static_cast<char>(group >> bits & 255);
        }
    }
    return made;
}

ms parse_time(const std::string& text)
{
    const double number = std::stod(text);
    const bool is_ms = text.ends_with("ms");
    return ms(static_cast<long>(is_ms ? number : number * 1000));
}

wire_answer make_answer(int status, const json& body)
{
    wire_answer made;
    made.status = status;
    made.headers["Content-Type"] = "application/json";
    made.body = body.dump();
    return made;
}

wire_answer make_status(int status)
{
    return make_answer(status, json::object());
}

} // namespace

platform_store::platform_store(int port)
{
    server_ = std::make_unique<wire_server>(
        port,
        [this](const exchanged_message& request, const wire_peer& peer)
        {
            wire_answer answer = handle(request, peer);
            const std::lock_guard guard(lock_);
            answer.headers["Store-Era"] = std::to_string(era_);
            return answer;
        });
    std::thread(
        [this]
        {
            while (true)
            {
                std::this_thread::sleep_for(ms(5));
                const std::lock_guard guard(lock_);
                expire_leases();
            }
        })
        .detach();
}

void platform_store::add_port(int port,
                              std::string prefix,
                              std::function<void()> on_check)
{
    more_ports_.push_back(std::make_unique<wire_server>(
        port,
        [this, port, prefix = std::move(prefix), on_check = std::move(on_check)](
            const exchanged_message& request, const wire_peer& peer)
        {
            wire_answer answer = handle(request, peer);
            const bool is_poll =
                request.first_line.starts_with("GET /camphorrock/kv-watch?") &&
                request.first_line.find("prefix=" + prefix + "&") != std::string::npos;
            const bool is_check =
                is_poll && request.first_line.find("wait_ms=0 ") != std::string::npos;
            const bool has_changes =
                answer.body.find("\"revision\"") != std::string::npos;
            {
                const std::lock_guard guard(lock_);
                answer.headers["Store-Era"] = std::to_string(era_);
                if (is_poll && !is_check && has_changes &&
                    to_lose_.erase({port, prefix}) > 0)
                {
                    ++lost_answers_;
                    answer.kind = answer_mode::silent;
                }
            }
            if (is_check)
            {
                on_check();
            }
            return answer;
        }));
}

void platform_store::lose_answer(int port, const std::string& prefix)
{
    const std::lock_guard guard(lock_);
    to_lose_.insert({port, prefix});
}

int platform_store::lost_answers()
{
    const std::lock_guard guard(lock_);
    return lost_answers_;
}

void platform_store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard guard(lock_);
    set(key, value, 0);
}

void platform_store::erase(const std::string& key)
{
    const std::lock_guard guard(lock_);
    remove(key);
}

std::optional<std::string> platform_store::find(const std::string& key)
{
    const std::lock_guard guard(lock_);
    const auto found = now_.items.find(key);
    return found == now_.items.end() ? std::nullopt : std::optional(found->second.value);
}

void platform_store::set_away(bool is_away)
{
    const std::lock_guard guard(lock_);
    is_away_ = is_away;
    changed_.notify_all();
}

void platform_store::keep_copy()
{
    const std::lock_guard guard(lock_);
    copy_ = now_;
}

// Leases of the copy run from now on, as after an outage in which leases pause.
void platform_store::restore()
{
    const std::lock_guard guard(lock_);
    now_ = *copy_;
    ++era_;
    for (auto& [id, it] : now_.leases)
    {
        it.ends_at = steady::now() + it.time_to_live;
    }
    now_.events.clear();
    now_.first_known = now_.revision;
    changed_.notify_all();
}

void platform_store::set(const std::string& key,
                         const std::string& value,
                         std::uint64_t lease)
{
    item& it = now_.items[key];
    it.value = value;
    it.revision = ++now_.revision;
    it.created_at = it.created_at == 0 ? it.revision : it.created_at;
    it.lease = lease;
    now_.events.push_back({it.revision, key, false, it});
    changed_.notify_all();
}

void platform_store::remove(const std::string& key)
{
    if (now_.items.erase(key) > 0)
    {
        now_.events.push_back({++now_.revision, key, true, {}});
        changed_.notify_all();
    }
}

void platform_store::expire_leases()
{
    if (is_away_)
    {
        return; // leases pause while the store is away
    }
    std::vector<std::uint64_t> ended;
    for (const auto& [id, it] : now_.leases)
    {
        if (steady::now() >= it.ends_at)
        {
            ended.push_back(id);
        }
    }
    for (std::uint64_t id : ended)
    {
        now_.leases.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, it] : now_.items)
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
    while (now_.events.size() > 20000)
    {
        now_.first_known = now_.events.front().revision;
        now_.events.pop_front();
    }
}

wire_answer platform_store::handle(const exchanged_message& request,
                                   const wire_peer& peer)
{
    {
        const std::lock_guard guard(lock_);
        if (is_away_)
        {
            wire_answer lost;
            lost.kind = answer_mode::close;
            return lost;
        }
    }
    if (request.first_line.find(" /camphorrock/kv-watch?") != std::string::npos)
    {
        return watch(request, peer);
    }
    const std::lock_guard guard(lock_);
    return execute(request);
}

wire_answer platform_store::watch(const exchanged_message& request, const wire_peer& peer)
{
    const std::string target =
        request.first_line.substr(4, request.first_line.rfind(' ') - 4);
    const std::string prefix = query_of(target, "prefix");
    const std::uint64_t after = std::stoull(query_of(target, "after"));
    const auto until = steady::now() + ms(std::stol(query_of(target, "wait_ms")));
    std::unique_lock guard(lock_);
    const std::uint64_t era = era_;
    while (true)
    {
        const bool is_cut = is_away_ || era != era_ || peer.has_closed();
        if (is_cut)
        {
            wire_answer lost;
            lost.kind = answer_mode::close;
            return lost;
        }
        if (after < now_.first_known || after > now_.revision)
        {
            return make_status(410);
        }
        json events = json::array();
        for (auto it = now_.events.rbegin(); it != now_.events.rend(); ++it)
        {
            if (it->revision <= after)
            {
                break;
            }
            if (!it->key.starts_with(prefix))
            {
                continue;
            }
            json row = {{"key", it->key}, {"revision", it->revision}};
            if (it->is_deleted)
            {
                row["deleted"] = true;
            }
            else
            {
                row["value"] = to_base64(it->now.value);
                row["created_at"] = it->now.created_at;
                row["lease"] = it->now.lease;
            }
            events.insert(events.begin(), row);
        }
        if (!events.empty() || steady::now() >= until)
        {
            return make_answer(200,
                               {{"events", events}, {"store_revision", now_.revision}});
        }
        changed_.wait_until(guard, std::min(until, steady::now() + ms(200)));
    }
}

wire_answer platform_store::execute(const exchanged_message& request)
{
    const std::size_t blank = request.first_line.find(' ');
    const std::string method = request.first_line.substr(0, blank);
    const std::string target =
        request.first_line.substr(blank + 1, request.first_line.rfind(' ') - blank - 1);
    const std::string path = target.substr(0, target.find('?'));
    const auto item_json = [](const std::string& key, const item& it)
    {
        return json{{"key", key},
                    {"value", to_base64(it.value)},
                    {"revision", it.revision},
                    {"created_at", it.created_at},
                    {"lease", it.lease}};
    };
    if (path == "/camphorrock/kv-key")
    {
        const auto found = now_.items.find(query_of(target, "key"));
        if (found == now_.items.end())
        {
            return make_answer(404, {{"store_revision", now_.revision}});
        }
        json body = item_json(found->first, found->second);
        body["store_revision"] = now_.revision;
        return make_answer(200, body);
    }
    if (path == "/camphorrock/kv-range")
    {
        const std::string prefix = query_of(target, "prefix");
        const std::string after = query_of(target, "after");
        json items = json::array();
        for (const auto& [key, it] : now_.items)
        {
            if (key.starts_with(prefix) && key > after)
            {
                items.push_back(item_json(key, it));
            }
        }
        return make_answer(
            200,
            {{"items", items}, {"has_more", false}, {"store_revision", now_.revision}});
    }
    const json body = json::parse(request.body, nullptr, false);
    if (path == "/camphorrock/kv-txn")
    {
        json failed = json::array();
        bool holds = true;
        for (const json& it : body.value("expect", json::array()))
        {
            const auto found = now_.items.find(it["key"].get<std::string>());
            const std::uint64_t revision =
                found == now_.items.end() ? 0 : found->second.revision;
            holds = holds && revision == it["revision"].get<std::uint64_t>();
            if (found != now_.items.end())
            {
                failed.push_back(item_json(found->first, found->second));
            }
        }
        if (!holds)
        {
            return make_answer(412, {{"items", failed}});
        }
        for (const json& it : body.value("set_keys", json::array()))
        {
            const std::uint64_t lease = it.value("lease", std::uint64_t{0});
            if (lease != 0 && !now_.leases.contains(lease))
            {
                return make_status(404);
            }
        }
        for (const json& it : body.value("set_keys", json::array()))
        {
            set(it["key"].get<std::string>(),
                from_base64(it["value"].get<std::string>()),
                it.value("lease", std::uint64_t{0}));
        }
        for (const json& it : body.value("delete_keys", json::array()))
        {
            remove(it.get<std::string>());
        }
        return make_answer(200, {{"revision", now_.revision}});
    }
    if (path == "/camphorrock/kv-lease")
    {
        const std::string text = body["ttl_time"].get<std::string>();
        const std::uint64_t id = ++now_.last_lease;
        now_.leases[id] = {parse_time(text), steady::now() + parse_time(text)};
        return make_answer(200, {{"lease", id}, {"ttl_time", text}});
    }
    const bool is_renewal = path.starts_with("/camphorrock/kv-keep/");
    const bool is_end = path.starts_with("/camphorrock/kv-lease-end/");
    if (!is_renewal && !is_end)
    {
        return make_status(404);
    }
    const std::uint64_t id = std::stoull(path.substr(path.rfind('/') + 1));
    const auto found = now_.leases.find(id);
    if (found == now_.leases.end())
    {
        return make_status(404);
    }
    found->second.ends_at =
        steady::now() + (is_renewal ? found->second.time_to_live : ms(0));
    const ms left = found->second.time_to_live;
    if (is_end)
    {
        expire_leases();
    }
    return make_answer(
        200, {{"lease", id}, {"ttl_time", std::to_string(left.count()) + "ms"}});
}

} // namespace review3
