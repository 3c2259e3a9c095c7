#pragma once

// Errors are returned as values. A function that can fail returns result<T>, an alias of
// boost::leaf::result, which carries an `error` on failure: a code for programs and a
// text for people.
//
//     result<settings> load(...);
//     return fail(error_code::invalid_argument, "port 0 is not allowed");
//
// value_or_handle() gives the caller access to the error.

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace camphorrock
{

template<class T>
using result = boost::leaf::result<T>;

enum class error_code
{
    invalid_argument, // the input breaks a documented rule
    not_found,        // the named object does not exist
    conflict,         // a compare-and-swap found another version
    unavailable,      // the peer did not answer, or answered that it cannot serve now
    refused,          // the peer answered and refused the request
    io,               // the operating system reported an error
};

// Returns the name of the code, as in "invalid_argument".
std::string_view name_of(error_code code);

struct error
{
    error_code code = error_code::io;
    std::string text;
};

// Creates an error that converts to a failed result<T>.
inline boost::leaf::error_id fail(error_code code, std::string text)
{
    return boost::leaf::new_error(error{code, std::move(text)});
}

// Calls `body`, which returns a result<T>, and returns its value. On failure, returns
// `on_error(const error&)`. An exception is passed on as an error of code io: a
// std::exception with its text, any other one as "unknown error".
template<class Body, class OnError>
auto value_or_handle(Body&& body, OnError&& on_error)
{
    return boost::leaf::try_handle_all(
        std::forward<Body>(body),
        [&](const error& ec) { return on_error(ec); },
        [&](const std::exception& ec) {
            return on_error(error{error_code::io, ec.what()});
        },
        [&] {
            return on_error(error{error_code::io, "unknown error"});
        });
}

} // namespace camphorrock
