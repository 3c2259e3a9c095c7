#pragma once

// An append-only file of lines. append() passes each line to the operating system before
// it returns, so that no line is lost when the process is killed.

#include "core/base/result.hpp"

#include <cstdio>
#include <memory>
#include <string>

namespace camphorrock
{

class line_file
{
public:
    // Opens the file for appending. With an empty path, all lines are discarded. Fails
    // with error_code::io.
    static result<line_file> open(const std::string& path);

    void append(const std::string& line);

    // True if a write has failed since the file was opened, so that lines are missing.
    bool has_failed() const
    {
        return has_failed_;
    }

private:
    struct file_closer
    {
        void operator()(std::FILE* file) const
        {
            std::fclose(file);
        }
    };

    std::unique_ptr<std::FILE, file_closer> file_;
    bool has_failed_ = false;
};

} // namespace camphorrock
