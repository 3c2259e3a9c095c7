#pragma once

// What an assigner knows of the routers: from the platform's list, which lags, and from
// their own reports, which go before it.

#include "core/assignment/assignment_options.hpp"
#include "core/assignment/service_view.hpp"
#include "core/ownership/shard_record.hpp"
#include "core/ownership/shard_report.hpp"

#include <map>
#include <optional>

namespace camphorrock
{

struct router_state
{
    router_instance self;
    bool is_listed = false;
    bool is_listed_as_leaving = false;
    std::optional<time_point> heard_at; // of the last report
    time_point send_due;                // of the record
    shard_report report;
};

class router_table
{
public:
    explicit router_table(duration silence) : silence_(silence) {}

    // A router that left the list is forgotten only once it is silent as well.
    void listed(const std::vector<router_instance>& routers, time_point now);

    // Reports of lower versions than the last one are ignored.
    void
    reported(const router_instance& router, const shard_report& report, time_point now);

    // Did it report lately?
    bool is_heard(const instance_id& id, time_point now) const;

    // Heard and not leaving, so that it can be given work.
    bool is_usable(const instance_id& id, time_point now) const;

    // Silent for `silence` or longer. Silence counts from the last report or from the
    // time when this assigner began to listen.
    bool is_silent_for(const instance_id& id, duration silence, time_point now) const;

    // Has each router that runs had the time to report?
    bool has_listened(time_point now) const
    {
        return listening_since_ + silence_ <= now;
    }

    // Reports may have been missed until now: no silence before counts.
    void restart_silence(time_point now)
    {
        listening_since_ = now;
    }

    // How the scheduler of a server sees it; unknown where none reports lately.
    server_condition condition_of(const server_entry& server, time_point now) const;

    // Did the router report this partition as released?
    bool is_released(const instance_id& scheduler,
                     const partition_entry& partition) const;

    std::vector<router_instance> usable(time_point now) const;

    std::map<instance_id, router_state>& all()
    {
        return routers_;
    }

    const std::map<instance_id, router_state>& all() const
    {
        return routers_;
    }

    const router_state* find(const instance_id& id) const;

private:
    duration silence_;
    time_point listening_since_;
    std::map<instance_id, router_state> routers_;
};

} // namespace camphorrock
