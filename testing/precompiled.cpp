// CMake builds the shared precompiled header only if a source is compiled with it. This
// is that source, since test_main.cpp must be compiled without the header.
#include "testing/test_headers.hpp"
