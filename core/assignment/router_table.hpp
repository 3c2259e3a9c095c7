#pragma once

// An assigner's view of the routers, from the platform's instance list and the routers'
// own reports. Reports take precedence, since the list lags.

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
    router_instance instance;
    bool is_listed = false;
    bool is_listed_as_leaving = false;
    std::optional<time_point> reported_at; // time of the last report; empty: none
    time_point next_send_at;               // when the record is sent again
    shard_report report;
};

class router_table
{
public:
    explicit router_table(duration report_timeout) : report_timeout_(report_timeout) {}

    // Applies the platform's instance list. A router that is no longer listed is erased
    // only once it has stopped reporting as well.
    void listed(const std::vector<router_instance>& routers, time_point now);

    // Stores the router's report in place of the last one.
    void
    reported(const router_instance& router, const shard_report& report, time_point now);

    // Returns whether the router has sent a report within the report timeout.
    bool is_reporting(const instance_id& id, time_point now) const;

    // Returns whether the router is reporting and not leaving, so that it can become a
    // scheduler or voter.
    bool is_usable(const instance_id& id, time_point now) const;

    // Returns whether the router has sent no report for `timeout` or longer. The time
    // counts from its last report or from the last restart_timeouts(), whichever is
    // later.
    bool
    is_unresponsive_for(const instance_id& id, duration timeout, time_point now) const;

    // Returns whether each running router has had time to report since the last
    // restart_timeouts().
    bool has_waited_for_reports(time_point now) const
    {
        return timeouts_restarted_at_ + report_timeout_ <= now;
    }

    // Restarts the report timeouts, since reports before `now` may have been missed.
    void restart_timeouts(time_point now)
    {
        timeouts_restarted_at_ = now;
    }

    // The condition that the server's scheduler reported; unknown if the scheduler is not
    // reporting or has not acted on the record that made it the scheduler.
    server_condition condition_of(const server_entry& server, time_point now) const;

    // Returns whether the scheduler has reported this partition as released for its
    // current epoch.
    bool is_released(const instance_id& scheduler,
                     const partition_entry& partition) const;

    std::vector<router_instance> usable_routers(time_point now) const;

    std::map<instance_id, router_state>& all()
    {
        return routers_;
    }

    const std::map<instance_id, router_state>& all() const
    {
        return routers_;
    }

    // Null for an unknown router.
    const router_state* find(const instance_id& id) const;

private:
    duration report_timeout_;
    time_point timeouts_restarted_at_;
    std::map<instance_id, router_state> routers_;
};

} // namespace camphorrock
