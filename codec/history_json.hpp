#pragma once

// Converts a history record to and from one line of JSON.

#include "codec/history.hpp"
#include "core/base/result.hpp"

#include <string>
#include <string_view>

namespace camphorrock
{

// Returns the line without a line break.
std::string write_history_line(const history_entry& entry);

// Fails with invalid_argument if the line is not exactly one record.
result<history_entry> read_history_line(std::string_view line);

} // namespace camphorrock
