// The gateway that assigns keys is turned away by the store while servers carry out
// grants late: does a server get keys back that its successor has given to another
// server?

#include "review/testing/stand_ins.hpp"

using namespace review;

namespace
{

constexpr unsigned time_limit_ms = 800;
constexpr double trouble_from = 6;
constexpr double late_orders_for = 5.5;
constexpr double max_late_share = 0.3; // of the orders to a server
constexpr double turned_away_for = 9;
constexpr double late_by = 4; // of 2 to 12 s

// OWNER: two upstreams that are up hold the same keys at the same time, and both begin
// requests on such keys in that time.
unsigned count_violations(case_record& record, case_server& one, case_server& other)
{
    unsigned found = 0;
    for (const key_hold& a : one.holds())
    {
        for (const key_hold& b : other.holds())
        {
            const unsigned first = std::max(a.first, b.first);
            const unsigned last = std::min(a.last, b.last);
            const double begins = std::max(a.begins, b.begins);
            const double ends = std::min(a.ends, b.ends);
            if (first > last || begins >= ends)
            {
                continue;
            }
            const auto begun = [&](case_server& at)
            {
                unsigned count = 0;
                for (const case_run& it : at.runs())
                {
                    const bool is_in = it.key && first <= *it.key && *it.key <= last &&
                                       begins <= it.begins && it.begins < ends;
                    count += is_in ? 1 : 0;
                }
                return count;
            };
            const unsigned at_one = begun(one);
            const unsigned at_other = begun(other);
            if (at_one > 0 && at_other > 0)
            {
                record.line(
                    "BROKEN: keys %u..%u are held by %s (fence %llu) and %s (fence "
                    "%llu) from %.3f to %.3f; they begin %u and %u requests there",
                    first,
                    last,
                    one.id().c_str(),
                    static_cast<unsigned long long>(a.fence),
                    other.id().c_str(),
                    static_cast<unsigned long long>(b.fence),
                    begins,
                    ends,
                    at_one,
                    at_other);
                ++found;
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
    const std::size_t ports[3] = {store.add_port(), store.add_port(), store.add_port()};
    store.put("op/config", one_route_config("safe", true, "2s"));

    case_server first(record, "i-first", "shelf", true);
    case_server second(record, "i-second", "shelf", true);
    std::atomic<double> late_until{0};
    std::atomic<unsigned> grants{0};
    std::atomic<unsigned> unanswered{0};
    std::atomic<unsigned> in_window{0}; // orders
    first.leaves_unanswered = [&](const key_order_text& order)
    {
        // Every fourth grant, from the first long one on.
        const bool is_counted = seconds_now() < late_until && order.is_grant &&
                                (grants > 0 || order.hold > 5);
        const bool is_late = is_counted && ++grants % 4 == 1;
        in_window += seconds_now() < late_until ? 1 : 0;
        if (is_late)
        {
            ++unanswered;
            std::thread(
                [&, order]
                {
                    pause_for(late_by);
                    first.apply_late(order);
                })
                .detach();
        }
        return is_late;
    };
    first.start(store);
    // The first gateway is elected alone, so it is known which one holds the role.
    case_gateway one(args.program, args.folder, "g1", store.port(ports[0]));
    one.wait_ready();
    case_gateway two(args.program, args.folder, "g2", store.port(ports[1]));
    two.wait_ready();
    case_gateway three(args.program, args.folder, "g3", store.port(ports[2]));
    three.wait_ready();
    pause_for(std::max(0.0, trouble_from - seconds_now()));

    std::atomic<bool> is_over{false};
    std::atomic<unsigned> served{0};
    std::vector<std::thread> clients;
    for (const case_gateway* gateway : {&one, &two, &three})
    {
        for (unsigned n = 0; n < 4; ++n)
        {
            clients.emplace_back(
                [&, gateway, n]
                {
                    const std::string name = gateway == &one   ? "one"
                                             : gateway == &two ? "two"
                                                               : "three";
                    for (unsigned k = 0; !is_over; ++k)
                    {
                        const unsigned key = (n * 16384 + k * 1237) % 65536;
                        const client_answer got = send_once(
                            record,
                            gateway->port(),
                            "GET",
                            "/look/work-20/x",
                            name + "-" + std::to_string(n) + "-" + std::to_string(k),
                            key,
                            time_limit_ms);
                        served += got.status == 200 ? 1 : 0;
                        pause_for(0.1);
                    }
                });
        }
    }
    pause_for(1);
    if (args.has_trouble)
    {
        record.line(
            "the store turns g1 away; i-first leaves each fourth grant unanswered");
        late_until = seconds_now() + late_orders_for;
        store.turn_away(ports[0], true);
    }
    pause_for(1);
    record.line("i-second is added");
    second.start(store);
    pause_for(turned_away_for - 1);
    store.turn_away(ports[0], false);
    record.line("the store serves g1 again");
    pause_for(2);
    is_over = true;
    for (std::thread& it : clients)
    {
        it.join();
    }
    one.end();
    two.end();
    three.end();

    const unsigned broken = count_violations(record, first, second);
    const bool is_within_dose = unanswered <= max_late_share * in_window;
    record.line("%u of %u orders to i-first left unanswered: %s",
                unanswered.load(),
                in_window.load(),
                is_within_dose ? "within the dose" : "too many");
    const bool is_played = served > 0 && !second.holds().empty() && is_within_dose &&
                           (!args.has_trouble || unanswered > 0);
    record.line(
        "%u violations; the case was played: %s", broken, is_played ? "yes" : "no");
    std::printf("%u violations of OWNER\n", broken);
    std::fflush(stdout);
    _exit(!is_played ? 2 : broken > 0 ? 1 : 0);
}
