#pragma once

// Errors are values. A function that can fail returns result<T>, which is Boost.LEAF's,
// and the error object it carries is an `error`: a code that programs act on and a text
// for people.
//
//     result<settings> load(...);
//     return fail(error_code::invalid_argument, "port 0 is not allowed");
//
// A caller that wants the error as a value uses value_or_handle.

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
    not_found,        // what was named does not exist
    conflict,         // a compare-and-swap met another version
    unavailable,      // the other side did not answer, or said that it cannot now
    refused,          // the other side answered and refused
    io,               // the operating system reported a fault
};

// "invalid_argument", ...
std::string_view name_of(error_code code);

struct error
{
    error_code code = error_code::io;
    std::string text;
};

// The failed result that carries this error.
inline boost::leaf::error_id fail(error_code code, std::string text)
{
    return boost::leaf::new_error(error{code, std::move(text)});
}

// Runs `attempt`, which returns a result<T>, and returns its value, or calls
// `on_error(const error&)` and returns what that returns. An exception of a library ends
// as an error of code io with its text.
template<class Attempt, class OnError>
auto value_or_handle(Attempt&& attempt, OnError&& on_error)
{
    return boost::leaf::try_handle_all(
        std::forward<Attempt>(attempt),
        [&](const error& ec) { return on_error(ec); },
        [&](const std::exception& ec) {
            return on_error(error{error_code::io, ec.what()});
        },
        [&] {
            return on_error(error{error_code::io, "unknown error"});
        });
}

} // namespace camphorrock
