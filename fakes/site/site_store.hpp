#pragma once

// A fake of the key-value store of the users' platform, as an HTTP handler: items, ranges
// in pages, watches as long polls, transactions and leases, with the faults that the
// platform's documentation names.
//
// Keys with the prefix `op/` or `servers/` can be set only by put(); a transaction that
// sets one is refused with 403.

#include "fakes/platform/kv_engine.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <json/value.h>

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace camphorrock::fakes
{

// How the store handles calls.
enum class site_store_mode
{
    serving,
    unresponsive,  // no answer, no effect
    busy,          // 503, no effect
    rejects,       // 429, no effect, for all calls
    resets,        // connections are aborted, no effect
    loses_answers, // writes take effect, and their connections are aborted
    delays_writes, // connections of writes are aborted; they take effect `write_delay`
                   // later
};

struct site_store_options
{
    std::size_t page_items = 500; // maximum number of items in a page of a range
    // A page ends with the item whose value brings it to this size.
    std::size_t page_bytes = 1'000'000;
    duration write_delay = milliseconds(300);
    std::uint64_t era = 0; // sent with all answers; 0: none is sent
    kv_engine_options kv;
};

class site_store : public http_handler
{
public:
    // `loop` must outlive the store.
    site_store(event_loop& loop, site_store_options options);

    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    // Write as the operator and the servers do.
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);

    // Returns the value of a key, or nullopt if the key is absent.
    std::optional<std::string> find(const std::string& key) const;

    // Any mode but `serving` also leaves the pending polls without an answer.
    void set_mode(site_store_mode mode);

    // Compacts the history up to the current revision: later polls from before it get
    // 410, and the connections of pending polls are aborted.
    void compact();

    // The same, but pending polls are not aborted: those from before it hear nothing, and
    // get 410 at the next change of their prefix or at their deadline.
    void drop_history();

    // Keeps a copy of the store. restore() brings the store back from it: what was
    // written since is gone, leases too, its revisions are given out again, and the era
    // rises.
    void keep_copy();
    void restore();

    // While held, polls are not answered: watches hear nothing, and calls go on.
    void hold_polls(bool is_held)
    {
        are_polls_held_ = is_held;
    }

    // Ends all leases and deletes their keys.
    void revoke_all_leases();

    // The number of calls received.
    std::uint64_t calls() const
    {
        return calls_;
    }

private:
    struct poll
    {
        std::string prefix;
        std::uint64_t after_revision = 0; // reports changes after this one
        time_point deadline{};            // answered without changes at this time
        std::shared_ptr<http_responder> responder;
    };

    http_response execute(const http_request& request);
    http_response get_key(const http_request& request) const;
    http_response get_range(const http_request& request) const;
    http_response run_transaction(const http_request& request);
    http_response handle_lease(const http_request& request);
    void start_poll(const http_request& request,
                    std::shared_ptr<http_responder> responder);
    // Answers the poll if there are changes or its deadline has passed. Returns whether
    // it was answered.
    bool answer_poll(poll& it);
    void answer_polls();
    Json::Value make_item(const kv_entry& entry) const;

    event_loop& loop_;
    site_store_options options_;
    void respond(http_responder& to, http_response answer) const;

    kv_engine kv_;
    std::optional<kv_engine> copy_;
    std::uint64_t era_ = 0;
    site_store_mode mode_ = site_store_mode::serving;
    std::uint64_t compact_revision_ = 0; // polls from an earlier revision get 410
    std::list<poll> polls_;
    bool are_polls_held_ = false;
    // Kept so that their connections stay open.
    std::vector<std::shared_ptr<http_responder>> unanswered_responders_;
    std::uint64_t calls_ = 0;
    std::vector<std::uint64_t> leases_; // ids of the leases granted
    timer_handle tick_timer_;
    std::vector<timer_handle> delayed_write_timers_;
};

} // namespace camphorrock::fakes
