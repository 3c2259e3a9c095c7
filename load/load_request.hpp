#pragma once

// The state of a caller's request over all its attempts.

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "load/load_report.hpp"
#include "load/load_settings.hpp"
#include "load/router_choice.hpp"
#include "net/http_message.hpp"

#include <cstdint>
#include <string>

namespace camphorrock
{

struct load_request
{
    load_class row;
    router_choice* routers = nullptr; // that the caller sends to
    service_name service;
    std::string key;
    request_id id;   // empty: a read, which has no id
    std::string tag; // identifies the request in the histories
    bool is_long = false;
    bool is_probe = false;
    duration timeout{};
    retry_settings retry;
    duplicate_settings duplicates;
    time_point arrival; // when the load scheduled the request; latency counts from it

    std::uint64_t attempts_sent = 0;
    std::uint64_t attempts_in_flight = 0; // sent, but not ended
    bool is_served = false;
    bool has_late_duplicate = false; // the late duplicate is scheduled or sent
};

// Returns the HTTP message of one attempt. Attempts of a request differ only in the
// header X-Attempt, since an id is valid for one method, target and body.
http_request to_http(const load_request& request, const std::string& attempt);

} // namespace camphorrock
