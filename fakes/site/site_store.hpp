#pragma once

// A stand-in for the key-value store of the users' platform, as an HTTP handler: items,
// ranges in pages, watches by long polls, transactions and leases, with the faults that
// the platform's pages name.
//
// Keys below `op/` and `servers/` may be written by put() and erase() only.

#include "fakes/platform/kv_engine.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <json/value.h>

#include <cstdint>
#include <list>
#include <memory>
#include <string>

namespace camphorrock::fakes
{

// How the store treats calls.
enum class site_store_mode
{
    serving,
    silent, // no answer, no effect
    busy,   // 503, no effect
    resets, // connections are cut, no effect
    loses,  // changes take effect, and their answers are lost
    delays, // changes are answered by a lost connection, and take effect `lateness` later
};

struct site_store_options
{
    std::size_t page_items = 500;
    duration lateness = milliseconds(300);
    kv_engine_options kv;
};

class site_store : public http_handler
{
public:
    // `loop` must outlive the store.
    site_store(event_loop& loop, site_store_options options);

    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    // As the operator and the servers write.
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);

    // None where the key is absent.
    std::optional<std::string> find(const std::string& key) const;

    void set_mode(site_store_mode mode);

    // Answers polls no more and drops the history; the polls that wait are cut.
    void compact();

    // Ends all leases at once.
    void end_leases();

    std::uint64_t calls() const
    {
        return calls_;
    }

private:
    struct poll
    {
        std::string prefix;
        std::uint64_t after = 0;
        time_point until{};
        std::shared_ptr<http_responder> responder;
    };

    http_response carry_out(const http_request& request);
    http_response get_key(const http_request& request) const;
    http_response get_range(const http_request& request) const;
    http_response run_transaction(const http_request& request);
    http_response lease(const http_request& request);
    void start_poll(const http_request& request,
                    std::shared_ptr<http_responder> responder);
    bool answer_poll(poll& it);
    void answer_polls();
    Json::Value item(const kv_entry& entry) const;

    event_loop& loop_;
    site_store_options options_;
    kv_engine kv_;
    site_store_mode mode_ = site_store_mode::serving;
    std::uint64_t first_watched_ = 0; // polls behind an earlier revision are refused
    std::list<poll> polls_;
    std::vector<std::shared_ptr<http_responder>> unanswered_;
    std::uint64_t calls_ = 0;
    std::vector<std::uint64_t> leases_;
    timer_handle ticker_;
    std::vector<timer_handle> late_;
};

} // namespace camphorrock::fakes
