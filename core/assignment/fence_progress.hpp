#pragma once

// Tracks the voters' acknowledgements of fences and derives the version below which no
// router can still hold authority. See docs/DESIGN.md, "One owner".
//
//     progress.start(record, now);                    // after each new version
//     progress.acknowledged(voter, version, fenced_for, now);
//     if (since <= progress.barrier(now, duration{})) ... // no older authority is left
//
// While a majority of the voters does not answer, a version counts as fenced after
// max_store_read_age: by then each voter has read it from the store or has stopped
// granting lease votes. Memory is bounded: at most 64 versions in each of two lists.

#include "core/ownership/majority.hpp"
#include "core/ownership/ownership_options.hpp"

#include <deque>
#include <map>

namespace camphorrock
{

class fence_progress
{
public:
    explicit fence_progress(ownership_options options) : options_(options) {}

    // Sets the longest `extra` that is passed to barrier() from now on.
    void set_max_request_time(duration longest)
    {
        options_.max_request_time = longest;
    }

    // Adds a version. The store has held this record since `now` or earlier.
    void start(const shard_record& record, time_point now);

    // Handles a voter's acknowledgement, received at `now`, that it has refused lower
    // versions for `fenced_for` on its clock. A fence that an earlier assigner set thus
    // counts from the time when it was set.
    void acknowledged(const instance_id& voter,
                      epoch version,
                      duration fenced_for,
                      time_point now);

    // The highest version such that no router has held authority from a lower version
    // during the last `extra`.
    epoch barrier(time_point now, duration extra) const;

    // Returns whether `version` is fenced by the required majorities or by
    // max_store_read_age. Authority from lower versions may not have lapsed yet.
    bool is_fenced(epoch version, time_point now) const;

    // The highest version that this voter acknowledged; 0 for none.
    epoch acknowledged_by(const instance_id& voter) const;

private:
    struct dated_version
    {
        epoch version;
        time_point at;
    };

    struct acknowledgement
    {
        epoch version;
        time_point at; // the voter had fenced the version by then
    };

    void update_fenced(time_point now);
    dated_version highest_joint_fence() const;
    void add(std::deque<dated_version>& list, epoch version, time_point now);
    // The highest version in `list` with a time of `by` or earlier; 0 for none.
    static epoch highest_by(const std::deque<dated_version>& list, time_point by);

    ownership_options options_;
    std::vector<voter_entry> voters_;
    std::vector<voter_entry> previous_voters_;
    std::map<instance_id, acknowledgement> acknowledged_;
    std::deque<dated_version> fenced_; // by majorities; versions ascend
    std::deque<dated_version> stored_; // written to the store; versions ascend
};

} // namespace camphorrock
