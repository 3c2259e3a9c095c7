#pragma once

// Sends an operator's requests to the assigners, one after another. Blocks until they
// have answered or timed out.

#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "core/base/time.hpp"
#include "net/http_message.hpp"

#include <json/value.h>

#include <string>
#include <vector>

namespace camphorrock
{

struct operator_answer
{
    int status = 0;
    Json::Value body;
};

struct operator_client_options
{
    std::vector<endpoint> assigners;
    duration timeout = seconds(5); // of the exchange with one assigner
};

class operator_client
{
public:
    explicit operator_client(operator_client_options options)
        : options_(std::move(options))
    {
    }

    // Sends the request to one assigner after another until one answers with a status
    // other than `try_next_status`, by which an assigner says that another one is
    // responsible. Returns the last answer if all answer with it. Fails with unavailable
    // if none answers.
    result<operator_answer> send(const http_request& request, int try_next_status) const;

    // Sends the request to all assigners. Returns their answers in the order of the
    // options, without those that did not answer. Fails with unavailable if none answers.
    result<std::vector<operator_answer>> send_to_all(const http_request& request) const;

private:
    result<operator_answer> send_to(const endpoint& assigner,
                                    const http_request& request) const;

    operator_client_options options_;
};

} // namespace camphorrock
