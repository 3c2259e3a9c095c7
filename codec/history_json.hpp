#pragma once

// One history record as one line of JSON, and back.

#include "codec/history.hpp"
#include "core/base/result.hpp"

#include <string>
#include <string_view>

namespace camphorrock
{

// Without a line break.
std::string write_history_line(const history_entry& entry);

// Fails with invalid_argument where the line is not one whole record.
result<history_entry> read_history_line(std::string_view line);

} // namespace camphorrock
