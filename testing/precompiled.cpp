// Gives the shared precompiled header one source that is compiled with it, without which
// CMake does not build the header. test_main.cpp must be compiled without it.
#include "testing/test_headers.hpp"
