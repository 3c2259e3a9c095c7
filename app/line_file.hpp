#pragma once

// A file that grows by whole lines. Each line is handed to the operating system before
// append() returns, so that a process that is killed loses none.

#include "core/base/result.hpp"

#include <cstdio>
#include <memory>
#include <string>

namespace camphorrock
{

class line_file
{
public:
    // Opens the file for appending; an empty path gives a file that drops all lines.
    // Fails with error_code::io.
    static result<line_file> open(const std::string& path);

    void append(const std::string& line);

    // A line was lost since the operating system refused it; the file is not complete.
    bool has_failed() const
    {
        return has_failed_;
    }

private:
    struct closer
    {
        void operator()(std::FILE* file) const
        {
            std::fclose(file);
        }
    };

    std::unique_ptr<std::FILE, closer> file_;
    bool has_failed_ = false;
};

} // namespace camphorrock
