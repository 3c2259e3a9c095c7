#pragma once

// The assigner's role: one gateway of the fleet holds it, by a key with a lease in the
// store. Runs the election, and while elected the key_assigner: its record in the store
// and its orders to servers.
//
// An elected gateway reads the record, then writes it with a term of its own by
// compare-and-swap; whoever held the role before fails at its next write. A write without
// an answer is read back before anything follows from it. The role is given up when the
// holder's key is not its own any more, or another one has written the record. Gateways
// that know of a much stronger one stand later, and one that holds the role then gives it
// up.

#include "core/gateway/key_assigner.hpp"
#include "gateway/gateway_log.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/order_sender.hpp"
#include "gateway/store_reader.hpp"
#include "net/event_loop.hpp"
#include "store/store_client.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace camphorrock
{

// The key of the record in the store that says who owns which keys.
constexpr const char* keys_record_key = "camphorrock/keys";

struct assigner_role_parts
{
    event_loop& loop;
    store_client& store;
    gateway_state& state;
    order_sender& orders;
    gateway_log& log;
};

class assigner_role
{
public:
    // `on_published` is told of each new assignment while this gateway is the assigner;
    // `on_holder` of each new holder, none included.
    assigner_role(assigner_role_parts parts,
                  std::function<void(const key_assignment&)> on_published,
                  std::function<void()> on_holder);
    ~assigner_role();
    assigner_role(const assigner_role&) = delete;
    assigner_role& operator=(const assigner_role&) = delete;

    // Where reports go; none while no gateway is known to hold the role.
    const std::optional<endpoint>& holder() const
    {
        return holder_;
    }

    bool is_holder() const
    {
        return assigner_ != nullptr;
    }

    // While this gateway is the assigner: a request for a key, and a refused one.
    void add_load(const service_name& service, shard_key key);
    void not_owned(const service_name& service, shard_key key);

    // Gives the role up, for a program that stops, and does not stand again.
    void leave();

private:
    void holder_read(const std::vector<store_entry>& entries);
    void holder_changed(const std::vector<store_entry>& changes);
    void set_holder(const store_entry& entry);
    void no_holder();

    void stand_later();
    void hand_over_if_weak();
    void stand();
    void on_lease(const store_lease_grant& got);
    void on_holder_write(const store_write& got);
    void read_back_holder();
    void give_up_standing();
    void won();
    void on_record(const store_read& got);
    void begin(const key_assignment& record, store_revision at);

    void renew();
    void tick();
    void tick_soon();
    void write_record();
    void on_record_write(const store_write& got);
    void read_back_record();
    void publish();
    void resign(const char* why);

    assigner_role_parts parts_;
    std::function<void(const key_assignment&)> on_published_;
    std::function<void()> on_holder_;

    std::optional<endpoint> holder_;
    bool is_own_ = false; // the holder's key is this gateway's
    bool is_leaving_ = false;
    bool is_standing_ = false;
    store_lease lease_;
    time_point lease_sent_{};
    store_revision holder_revision_;

    std::unique_ptr<key_assigner> assigner_;
    store_revision record_revision_;
    std::optional<key_assignment> written_; // under way
    std::uint64_t published_ = 0;
    bool is_renewing_ = false;
    bool is_tick_posted_ = false;

    timer_handle stand_timer_;
    timer_handle renew_timer_;
    timer_handle tick_timer_;
    timer_handle retry_timer_;
    timer_handle weak_timer_;
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
    std::unique_ptr<store_reader> reader_;
};

} // namespace camphorrock
