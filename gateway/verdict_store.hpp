#pragma once

// Keeps the verdicts on requests that crash servers in the store, so that they outlast a
// restart of all gateways. A gateway that condemns a request, or hears an operator lift a
// verdict, saves that. The elected assigner loads the verdicts when it takes its role.
//
// One record holds the newest verdicts of the whole fleet. It is changed by
// compare-and-swap, and a change that failed is tried again until the store has it. Two
// calls of the store for each change, and one for each election.

#include "codec/verdict_codec.hpp"
#include "net/event_loop.hpp"
#include "store/store_client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace camphorrock
{

// The store key of the record.
constexpr const char* verdicts_key = "camphorrock/verdicts";

class verdict_store
{
public:
    using loaded_callback = std::function<void(const std::vector<suspect_row>&)>;

    // `loop` and `store` must outlive this object.
    verdict_store(event_loop& loop, store_client& store) : loop_(loop), store_(store) {}
    verdict_store(const verdict_store&) = delete;
    verdict_store& operator=(const verdict_store&) = delete;

    // Calls `done` with the verdicts that hold, unless the store cannot be read.
    void load(loaded_callback done);

    // Adds the rows to the record; a row without crashes removes its fingerprint.
    void save(const std::vector<suspect_row>& rows);

private:
    void schedule_save(duration delay);
    void read_to_save();
    void write(const store_read& got);
    std::vector<stored_verdict> merged(const store_read& got) const;

    event_loop& loop_;
    store_client& store_;
    std::map<std::uint64_t, unsigned> unsaved_; // crashes by fingerprint
    timer_handle save_timer_;                   // empty: no save is due
    bool is_saving_ = false;
    // Expires with this object; pending callbacks of the store check it.
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace camphorrock
