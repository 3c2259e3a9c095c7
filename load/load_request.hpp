#pragma once

// One request of a caller, through all its attempts.

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
    router_choice* routers = nullptr; // of its caller
    service_name service;
    std::string key;
    request_id id;   // empty: a read
    std::string tag; // names the request in the histories
    bool is_long = false;
    bool is_probe = false;
    duration timeout{};
    retry_settings retry;
    duplicate_settings duplicates;
    time_point arrived;

    std::uint64_t attempts = 0; // sent so far
    std::uint64_t pending = 0;  // of them: without an end
    bool is_served = false;
    bool is_sent_late = false; // the needless late attempt is planned or sent
};

// The HTTP message of one attempt. Attempts differ in the header X-Attempt only, since an
// id belongs to one method, target and body.
http_request to_http(const load_request& request, const std::string& attempt);

} // namespace camphorrock
