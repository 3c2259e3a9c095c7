#pragma once

// Asks the assigners on an operator's behalf, in turn. Blocks until they have answered.

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
    duration timeout = seconds(5); // of one assigner
};

class operator_client
{
public:
    explicit operator_client(operator_client_options options)
        : options_(std::move(options))
    {
    }

    // `elsewhere` is the status by which an assigner says that another one has to be
    // asked; its answer is returned if all say so. Fails with unavailable where none
    // answers.
    result<operator_answer> ask(const http_request& request, int elsewhere) const;

    // What each assigner answers, in the order of the options; those that do not answer
    // are left out. Fails with unavailable where none answers.
    result<std::vector<operator_answer>> ask_all(const http_request& request) const;

private:
    result<operator_answer> ask_one(const endpoint& assigner,
                                    const http_request& request) const;

    operator_client_options options_;
};

} // namespace camphorrock
