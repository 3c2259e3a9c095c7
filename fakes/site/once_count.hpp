#pragma once

// Compares what callers were answered with what ran at the servers: which requests that
// may run once only ran more often, and which of them had run though the caller was
// promised that they had not.

#include "fakes/site/site_server.hpp"
#include "fakes/site/trial_caller.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorrock::fakes
{

struct once_count
{
    std::size_t requests = 0;
    std::size_t ran_twice = 0;       // ran more than once
    std::size_t refused_and_ran = 0; // answered 503, 429, 408 or 421, and ran
    std::size_t unread_and_ran =
        0; // behind an answer that closes its connection, and ran
    std::size_t answered_refused = 0; // 503, 429, 408 or 421
    std::size_t answered_unknown = 0; // 502 or 504
    std::size_t answered_ok = 0;      // 200
    std::size_t answered_other = 0;
    std::size_t mixed_up = 0; // answered with the id of another request
    std::size_t not_answered = 0;
    std::size_t unread = 0; // those of them behind an answer that closes its connection
    std::size_t not_answered_and_ran = 0; // breaks no promise of the answer
    std::vector<std::string> broken; // ids of the requests that count as the first three

    bool is_kept() const
    {
        return broken.empty() && mixed_up == 0;
    }
};

// True for 408, 421, 429 and 503: the request has not run and never will.
bool is_promise_not_run(int status);

// O(n log n).
once_count count_once(const std::vector<caller_answer>& answers,
                      const std::vector<site_run>& runs);

// "requests=5 twice=0 ...", in the order of the struct.
std::string once_count_text(const once_count& of);

} // namespace camphorrock::fakes
