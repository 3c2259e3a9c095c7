// An extra answer of a server where the answer to its release is due: does the next owner
// get the keys while the last one is still at work on them?

#include "review/testing/stand_ins.hpp"

using namespace review;

namespace
{

constexpr unsigned time_limit_ms = 4000;
constexpr double work_seconds = 1.5;
// Of the disturbance `garble`: share of a server's answers, and how long it lasts.
constexpr double max_extra_share = 0.03;
constexpr double extra_for = 5;

// OWNER: an upstream is given a key on which another is still at work, before that one's
// hold would have run out.
unsigned count_violations(case_record& record,
                          case_server& one,
                          case_server& other,
                          const std::vector<key_hold>& granted_to_one)
{
    unsigned found = 0;
    for (const case_run& run : one.runs())
    {
        for (const key_hold& given : other.holds())
        {
            const bool is_at_work = run.key && given.first <= *run.key &&
                                    *run.key <= given.last && run.begins < given.begins &&
                                    given.begins < run.ends;
            const bool is_held = std::any_of(granted_to_one.begin(),
                                             granted_to_one.end(),
                                             [&](const key_hold& it)
                                             {
                                                 return it.first <= *run.key &&
                                                        *run.key <= it.last &&
                                                        it.begins <= given.begins &&
                                                        given.begins < it.ends;
                                             });
            if (is_at_work && is_held)
            {
                record.line("BROKEN: %s is given key %u at %.3f; %s is at work on it for "
                            "%s from %.3f to %.3f",
                            other.id().c_str(),
                            *run.key,
                            given.begins,
                            one.id().c_str(),
                            run.id.c_str(),
                            run.begins,
                            run.ends);
                ++found;
                break; // what follows are renewals
            }
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
    store.put("op/config", one_route_config("safe", true, "5s"));

    case_server first(record, "i-first", "shelf", true);
    std::vector<std::unique_ptr<case_server>> others; // one of eight servers leaves
    for (unsigned n = 2; n <= 8; ++n)
    {
        others.push_back(std::make_unique<case_server>(
            record, "i-" + std::to_string(n), "shelf", true));
    }
    std::atomic<bool> has_sent_extra{false};
    std::atomic<double> extra_at{0};
    if (args.has_trouble)
    {
        // One answer of the whole case is sent a second time, late: where the answer to
        // the next order on its connection is due.
        first.extra_answer = [&](const case_message& request, const std::string& last)
        {
            const bool is_moment =
                request.target == "/camphorrock/release" && !last.empty();
            if (!is_moment || has_sent_extra.exchange(true))
            {
                return std::string();
            }
            extra_at = seconds_now();
            record.line("i-first sends its last answer on that connection once more");
            return last;
        };
    }
    first.start(store);
    for (const std::unique_ptr<case_server>& it : others)
    {
        it->start(store);
    }
    case_gateway gateway(args.program, args.folder, "g1", store.port(port));
    gateway.wait_ready();
    pause_for(3);

    // Until it leaves, the first server has half of the keys.
    std::vector<key_hold> granted;
    unsigned first_key = 0;
    for (const key_hold& it : first.holds())
    {
        first_key = it.first;
    }
    // Ordinary requests, spread over the keys of all servers, so that one extra answer is
    // few.
    std::vector<std::thread> callers;
    for (unsigned caller = 0; caller < 8; ++caller)
    {
        callers.emplace_back(
            [&, caller]
            {
                for (unsigned n = 0; n < 50; ++n)
                {
                    send_once(record,
                              gateway.port(),
                              "GET",
                              "/look/work-5/x",
                              "short-" + std::to_string(caller) + "-" + std::to_string(n),
                              (first_key + 200 + caller * 8192 + n * 50) % 65536,
                              time_limit_ms);
                    pause_for(0.03);
                }
            });
    }
    for (std::thread& it : callers)
    {
        it.join();
    }
    pause_for(1.6); // then they count for no move of keys
    std::vector<std::thread> clients;
    for (unsigned n = 0; n < 3; ++n)
    {
        clients.emplace_back(
            [&, n]
            {
                send_once(record,
                          gateway.port(),
                          "GET",
                          "/look/work-1500/" + std::to_string(n),
                          "look-" + std::to_string(n),
                          first_key + 100 + n,
                          time_limit_ms);
            });
    }
    pause_for(0.3);
    // What the server has been granted so far, with the time that it would hold it.
    granted = first.holds();
    record.line("i-first says that it is draining");
    first.set_state("draining");
    for (std::thread& it : clients)
    {
        it.join();
    }
    pause_for(1.5);
    gateway.end();

    unsigned broken = 0;
    std::size_t holds_of_others = 0;
    for (const std::unique_ptr<case_server>& it : others)
    {
        broken += count_violations(record, first, *it, granted);
        holds_of_others += it->holds().size();
    }
    const std::vector<case_run> runs = first.runs();
    const bool was_at_work = std::any_of(
        runs.begin(),
        runs.end(),
        [](const case_run& it) { return it.ends - it.begins > work_seconds / 2; });
    const std::size_t answers = first.answers_between(extra_at - extra_for, extra_at);
    const bool is_within_dose =
        !args.has_trouble || 1 <= max_extra_share * static_cast<double>(answers);
    record.line("1 extra answer beside %zu answers of i-first in 5 s: %s",
                answers,
                is_within_dose ? "within the dose" : "too many");
    const bool is_played = was_at_work && holds_of_others > 7 && is_within_dose &&
                           (!args.has_trouble || has_sent_extra);
    record.line(
        "%u violations; the case was played: %s", broken, is_played ? "yes" : "no");
    std::printf("%u violations of OWNER\n", broken);
    std::fflush(stdout);
    _exit(!is_played ? 2 : broken > 0 ? 1 : 0);
}
