#include "upstream.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace review3
{
namespace
{

using json = nlohmann::json;

constexpr ms check_period(5); // of a caller that may close, and of slots

} // namespace

upstream::upstream(upstream_options options, platform_store& store, run_journal& journal)
    : options_(std::move(options)), store_(store), journal_(journal)
{
    born_ = std::chrono::duration_cast<ms>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    server_ = std::make_unique<wire_server>(
        0,
        [this](const exchanged_message& request, const wire_peer& peer)
        { return handle(request, peer); });
}

void upstream::write_entry()
{
    const json entry = {{"service", options_.service},
                        {"address", "127.0.0.1:" + std::to_string(server_->port())},
                        {"zone", "z"},
                        {"version", "v1"},
                        {"slots", options_.slots},
                        {"state", is_draining_ ? "draining" : "ready"},
                        {"warmup_left", "0ms"},
                        {"sequence", ++sequence_},
                        {"born", born_}};
    store_.put("servers/" + options_.id, entry.dump());
}

void upstream::join()
{
    is_listed_ = true;
    {
        const std::lock_guard guard(lock_);
        write_entry();
    }
    std::thread(
        [this]
        {
            while (is_listed_)
            {
                std::this_thread::sleep_for(options_.heartbeat);
                const std::lock_guard guard(lock_);
                if (is_listed_)
                {
                    write_entry();
                }
            }
        })
        .detach();
}

void upstream::drain()
{
    const std::lock_guard guard(lock_);
    is_draining_ = true;
    write_entry();
}

void upstream::leave()
{
    {
        const std::lock_guard guard(lock_);
        is_listed_ = false;
    }
    store_.erase("servers/" + options_.id);
    server_->stop();
}

void upstream::crash()
{
    is_listed_ = false;
    is_dead_ = true;
    server_->stop();
    const std::lock_guard guard(lock_);
    cut_grants(0, 65535, steady::now());
}

wire_answer upstream::handle(const exchanged_message& request, const wire_peer& peer)
{
    const auto arrived = steady::now();
    const std::string id = request.header("request-id");
    const std::string wanted = request.header("target-instance");
    wire_answer answer;
    if (request.first_line.starts_with("GET /health "))
    {
        answer.status = is_draining_ ? 503 : 200;
    }
    else if (!wanted.empty() && wanted != options_.id)
    {
        answer.status = 421;
        answer.headers["Not-Executed"] = "1";
    }
    else if (request.first_line.starts_with("POST /camphorrock/grant "))
    {
        answer = handle_grant(request.body, arrived);
    }
    else if (request.first_line.starts_with("POST /camphorrock/release "))
    {
        answer = handle_release(request.body);
    }
    else
    {
        answer = handle_request(request, peer);
    }
    answer.headers["Instance-Id"] = options_.id;
    if (!id.empty())
    {
        answer.headers["Request-Id"] = id;
    }
    return answer;
}

const upstream::grant* upstream::holder_of(unsigned key) const
{
    const auto found = std::find_if(grants_.begin(),
                                    grants_.end(),
                                    [&](const grant& it) {
                                        return it.first <= key && key <= it.last &&
                                               steady::now() < it.until;
                                    });
    return found == grants_.end() ? nullptr : &*found;
}

// Ends what is held of these keys.
void upstream::cut_grants(unsigned first, unsigned last, steady::time_point at)
{
    std::vector<grant> left;
    const std::lock_guard guard(journal_.lock);
    for (const grant& it : grants_)
    {
        if (it.last < first || it.first > last)
        {
            left.push_back(it);
            continue;
        }
        hold_note& old = journal_.holds[it.note];
        old.until = std::min(old.until, at);
        const auto keep = [&](unsigned from, unsigned to)
        {
            left.push_back(it);
            left.back().first = from;
            left.back().last = to;
            left.back().note = journal_.holds.size();
            journal_.holds.push_back({at, it.until, options_.id, from, to, it.fence});
        };
        if (it.first < first)
        {
            keep(it.first, first - 1);
        }
        if (it.last > last)
        {
            keep(last + 1, it.last);
        }
    }
    grants_ = left;
}

wire_answer upstream::handle_grant(const std::string& body, steady::time_point arrived)
{
    wire_answer answer;
    const json got = json::parse(body, nullptr, false);
    if (!got.is_object())
    {
        answer.status = 400;
        return answer;
    }
    const auto first = got["from"].get<unsigned>();
    const auto last = got["to"].get<unsigned>();
    const auto fence = got["fence"].get<std::uint64_t>();
    const std::string text = got["hold_time"].get<std::string>();
    const ms hold(static_cast<long>(std::stod(text) * (text.ends_with("ms") ? 1 : 1000)));
    const std::lock_guard guard(lock_);
    for (const grant& it : seen_)
    {
        if (it.first <= last && first <= it.last && it.fence > fence)
        {
            answer.status = 409;
            return answer;
        }
    }
    const bool is_known =
        std::any_of(seen_.begin(),
                    seen_.end(),
                    [&](const grant& it) {
                        return it.first == first && it.last == last && it.fence == fence;
                    });
    if (!is_known)
    {
        seen_.push_back({first, last, fence, {}, 0});
        const std::lock_guard noted(journal_.lock);
        journal_.orders.push_back(options_.id + " grant " + std::to_string(first) + "-" +
                                  std::to_string(last) + " fence " +
                                  std::to_string(fence));
    }
    const auto held = std::find_if(grants_.begin(),
                                   grants_.end(),
                                   [&](const grant& it)
                                   {
                                       return it.first == first && it.last == last &&
                                              it.fence == fence &&
                                              it.until > steady::now();
                                   });
    if (held != grants_.end())
    {
        held->until = std::max(held->until, arrived + hold);
        const std::lock_guard noted(journal_.lock);
        journal_.holds[held->note].until = held->until;
        return answer;
    }
    cut_grants(first, last, steady::now());
    const std::lock_guard noted(journal_.lock);
    grants_.push_back({first, last, fence, arrived + hold, journal_.holds.size()});
    journal_.holds.push_back(
        {steady::now(), arrived + hold, options_.id, first, last, fence});
    return answer;
}

wire_answer upstream::handle_release(const std::string& body)
{
    wire_answer answer;
    const json got = json::parse(body, nullptr, false);
    const auto first = got["from"].get<unsigned>();
    const auto last = got["to"].get<unsigned>();
    const auto fence = got["fence"].get<std::uint64_t>();
    std::unique_lock guard(lock_);
    seen_.push_back({first, last, fence, {}, 0});
    cut_grants(first, last, steady::now());
    {
        const std::lock_guard noted(journal_.lock);
        journal_.orders.push_back(options_.id + " release " + std::to_string(first) +
                                  "-" + std::to_string(last) + " fence " +
                                  std::to_string(fence));
    }
    while (std::any_of(working_.begin(),
                       working_.end(),
                       [&](unsigned key) { return first <= key && key <= last; }))
    {
        slot_freed_.wait_for(guard, check_period);
    }
    answer.headers["Handover"] = "state-of-" + options_.id;
    return answer;
}

wire_answer upstream::handle_request(const exchanged_message& request,
                                     const wire_peer& peer)
{
    wire_answer refused;
    refused.headers["Not-Executed"] = "1";
    const std::string key_text = request.header("shard-key");
    const unsigned key = key_text.empty() ? 0 : std::stoul(key_text);
    const std::string remaining = request.header("timeout-remaining");
    const auto deadline =
        steady::now() + ms(remaining.empty() ? 60000 : std::stol(remaining));
    std::unique_lock guard(lock_);
    if (options_.is_keyed && holder_of(key) == nullptr)
    {
        refused.status = 421;
        return refused;
    }
    if (running_ + waiting_.size() >= options_.slots + options_.queue)
    {
        refused.status = 503;
        refused.kind =
            options_.hangs_when_full ? answer_mode::silent : answer_mode::whole;
        return refused;
    }
    const int ticket = ++last_ticket_;
    waiting_.push_back(ticket);
    while (running_ >= options_.slots || waiting_.front() != ticket)
    {
        slot_freed_.wait_for(guard, check_period);
        const bool is_late = steady::now() >= deadline;
        if (is_late || (peer.has_closed() && !options_.keeps_work))
        {
            waiting_.remove(ticket);
            slot_freed_.notify_all();
            refused.status = 503;
            refused.kind = is_late ? answer_mode::whole : answer_mode::close;
            return refused;
        }
    }
    waiting_.pop_front();
    const grant* held = options_.is_keyed ? holder_of(key) : nullptr;
    if (options_.is_keyed && held == nullptr)
    {
        slot_freed_.notify_all();
        refused.status = 421;
        return refused;
    }
    ++running_;
    working_.push_back(key);
    std::size_t run = 0;
    {
        const std::lock_guard noted(journal_.lock);
        run = journal_.runs.size();
        journal_.runs.push_back({steady::now(),
                                 request.header("request-id"),
                                 options_.id,
                                 key,
                                 held == nullptr ? 0 : held->fence,
                                 {}});
    }
    const auto ends_at = steady::now() + options_.work(request.first_line);
    // A caller that closes ends the work on its request.
    while (steady::now() < ends_at && !is_dead_ &&
           (options_.keeps_work || !peer.has_closed()))
    {
        guard.unlock();
        std::this_thread::sleep_for(
            std::min<steady::duration>(check_period, ends_at - steady::now()));
        guard.lock();
    }
    if (peer.has_closed() && steady::now() < ends_at)
    {
        const std::lock_guard noted(journal_.lock);
        journal_.runs[run].cut_at = steady::now();
    }
    --running_;
    working_.erase(std::find(working_.begin(), working_.end(), key));
    slot_freed_.notify_all();
    wire_answer done;
    done.status = 200;
    done.kind = is_dead_ ? answer_mode::close : answer_mode::whole;
    done.headers["Response-Signature"] = "signed." + options_.id;
    done.body = options_.id + " ran " + request.header("request-id");
    return done;
}

} // namespace review3
