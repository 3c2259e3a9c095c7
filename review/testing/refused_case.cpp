// A server refuses a key and sends that refusal once more, late, where the answer to the
// next attempt is due: is the client told that its request has not run?

#include "review/testing/stand_ins.hpp"

#include <set>

using namespace review;

namespace
{

constexpr unsigned time_limit_ms = 3000;
// Of the disturbance `garble`: share of a server's answers, and how long it lasts.
constexpr double max_extra_share = 0.03;
constexpr double extra_for = 5;

// REFUSED: a request that isn't idempotent is answered 429 or 503 (or 408, 421) and has
// run, or runs later. TWICE: it runs more than once.
unsigned count_violations(case_record& record,
                          const std::map<std::string, client_answer>& answers,
                          const std::vector<case_run>& runs)
{
    unsigned found = 0;
    std::map<std::string, unsigned> count;
    for (const case_run& it : runs)
    {
        ++count[it.id];
    }
    for (const auto& [id, answer] : answers)
    {
        const std::set<int> promises{408, 421, 429, 503};
        const bool is_refused = promises.count(answer.status) > 0 && count[id] > 0;
        if (is_refused || count[id] > 1)
        {
            record.line("BROKEN: %s was answered %d and has run %u times",
                        id.c_str(),
                        answer.status,
                        count[id]);
            ++found;
        }
    }
    return found;
}

} // namespace

int main(int argc, char** argv)
{
    const case_arguments args = read_arguments(argc, argv);
    case_record record(args.record);
    case_store store;
    const std::size_t port = store.add_port();
    store.put("op/config", one_route_config("unsafe", true, "3s"));

    case_server first(record, "i-first", "shelf", true);
    case_server second(record, "i-second", "shelf", true);
    second.order_time = 0.05;
    std::atomic<unsigned> extras{0};
    std::atomic<double> extra_at{0};
    std::mutex mutex;
    if (args.has_trouble)
    {
        // One answer of the whole case is sent a second time, late: where the next answer
        // on its connection is due.
        second.extra_answer = [&](const case_message& request, const std::string& last)
        {
            const std::string id = request.header("Request-Id");
            const bool is_moment = !id.empty() &&
                                   last.find(" 421 ") != std::string::npos &&
                                   last.find(id) != std::string::npos;
            if (!is_moment || extras.fetch_add(1) > 0)
            {
                return std::string();
            }
            extra_at = seconds_now();
            record.line("i-second sends its last answer on that connection once more");
            return last;
        };
    }
    first.start(store);
    case_gateway gateway(args.program, args.folder, "g1", store.port(port));
    gateway.wait_ready();
    pause_for(2);

    std::atomic<bool> is_over{false};
    std::map<std::string, client_answer> answers;
    std::vector<std::thread> clients;
    for (unsigned n = 0; n < 2; ++n)
    {
        clients.emplace_back(
            [&, n]
            {
                for (unsigned k = 0; !is_over; ++k)
                {
                    const std::string id =
                        "reserve-" + std::to_string(n) + "-" + std::to_string(k);
                    const unsigned key = (n * 32768 + k * 7919) % 65536;
                    const client_answer got = send_once(record,
                                                        gateway.port(),
                                                        "POST",
                                                        "/look/work-100/x",
                                                        id,
                                                        key,
                                                        time_limit_ms,
                                                        "one quad");
                    {
                        const std::lock_guard lock(mutex);
                        answers[id] = got;
                    }
                    pause_for(0.01);
                }
            });
    }
    pause_for(2);
    record.line("i-second is added");
    second.start(store);
    pause_for(8);
    is_over = true;
    for (std::thread& it : clients)
    {
        it.join();
    }
    pause_for(0.5);
    gateway.end();

    std::vector<case_run> runs = first.runs();
    const std::vector<case_run> more = second.runs();
    runs.insert(runs.end(), more.begin(), more.end());
    const unsigned broken = count_violations(record, answers, runs);
    const std::size_t sent = second.answers_between(extra_at, extra_at + extra_for);
    const bool is_within_dose =
        !args.has_trouble || 1 <= max_extra_share * static_cast<double>(sent);
    record.line("1 extra answer beside %zu answers of i-second in 5 s: %s",
                sent,
                is_within_dose ? "within the dose" : "too many");
    const bool is_played =
        !more.empty() && is_within_dose && (!args.has_trouble || extras > 0);
    record.line(
        "%u violations; the case was played: %s", broken, is_played ? "yes" : "no");
    std::printf("%u violations of REFUSED or TWICE\n", broken);
    std::fflush(stdout);
    _exit(!is_played ? 2 : broken > 0 ? 1 : 0);
}
