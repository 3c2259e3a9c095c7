#pragma once

// Finds files of the source tree, such as pages and templates that a test compares with
// the code.

#include <string>

namespace camphorrock::testing
{

// Returns the path of the source tree's root, with a slash at its end. It may be relative
// to the folder in which the tests were built.
inline std::string source_root()
{
    std::string path = __FILE__;
    path.resize(path.rfind("testing/"));
    return path;
}

} // namespace camphorrock::testing
