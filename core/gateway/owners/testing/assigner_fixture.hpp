#pragma once

#include "core/gateway/owners/key_assigner.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorrock::testing
{

inline const service_name valves("valves");

// An assigner whose store answers every write at once, and servers that answer each
// order with the result of `answer`.
struct assigner_fixture
{
    explicit assigner_fixture(unsigned servers,
                              const key_assignment& record = {},
                              const std::optional<grant_bound>& bound = {})
        : assigner({}, record, instance_id("g1"), now, {}, bound)
    {
        for (unsigned n = 0; n < servers; ++n)
        {
            add_server("s" + std::to_string(n));
        }
        view.servers = &directory;
        view.keyed_services = {valves};
        view.capacity = [this](const service_name&, const listed_server& it)
        {
            auto found = capacities.find(it.id);
            return found == capacities.end() ? 40.0 : found->second;
        };
        view.limit = [this](const listed_server& it)
        {
            auto found = limits.find(it.id);
            return found == limits.end() ? std::nullopt : std::optional(found->second);
        };
        assigner.lease_renewed(now);
    }

    void add_server(const std::string& id, std::uint64_t incarnation = 1)
    {
        listed_server made;
        made.id = server_id(id);
        made.incarnation.started_ms = incarnation;
        made.service = valves;
        made.slots = 3;
        directory.put(made, now);
    }

    // Runs for `span`, in ticks of 10 ms.
    void run(duration span)
    {
        for (const time_point end = now + span; now < end; now += milliseconds(10))
        {
            if (is_renewing)
            {
                assigner.lease_renewed(now);
            }
            if (load)
            {
                load();
            }
            for (const key_order& it : assigner.tick(view, now))
            {
                orders.push_back(it);
                order_times.push_back(now);
                if (!answers_orders)
                {
                    continue;
                }
                const order_result got = answer(it);
                assigner.order_ended(it.id, got, now);
                const bool is_granted =
                    it.kind == order_kind::grant && got.end == order_end::accepted;
                if (is_granted)
                {
                    held_until[it.server] = now + it.hold_time;
                }
            }
            publish();
            const std::optional<grant_bound> bound = assigner.next_bound(now);
            if (bound)
            {
                bounds.push_back(*bound);
                assigner.bound_written(*bound);
            }
            if (const auto next = assigner.next_record(now))
            {
                if (!accepts_records)
                {
                    assigner.record_not_written();
                    continue;
                }
                records.push_back(*next);
                publish();
                assigner.record_written(now);
            }
        }
    }

    // Reads the assignment once for each reported change, as a gateway does.
    void publish()
    {
        if (assigner.changes() != published_changes)
        {
            published_changes = assigner.changes();
            last_published = assigner.published();
        }
    }

    // The published owner of a key; empty while the key is moving.
    std::string owner(unsigned key) const
    {
        const key_assignment all = assigner.published();
        const assigned_key_range* it = all.find(valves, shard_key{key});
        return it == nullptr || it->is_moving ? "" : it->owner.str();
    }

    time_point now{seconds(100)};
    server_directory directory;
    assigner_view view;
    key_assigner assigner;
    std::map<server_id, double> capacities;
    std::map<server_id, double> limits; // of the requests that a server takes in a second
    std::function<order_result(const key_order&)> answer = [](const key_order& it)
    {
        return order_result{order_end::accepted,
                            it.kind == order_kind::release ? "state" : ""};
    };
    std::function<void()> load;
    bool is_renewing = true;
    bool answers_orders = true;  // false: orders stay in flight
    bool accepts_records = true; // false: writes of records fail
    std::deque<key_order> orders;
    std::vector<time_point> order_times; // of each of `orders`
    std::vector<key_assignment> records;
    std::vector<grant_bound> bounds;            // that were stated
    std::map<server_id, time_point> held_until; // end of the last accepted grant
    std::uint64_t published_changes = 0;
    key_assignment last_published;
};

} // namespace camphorrock::testing
