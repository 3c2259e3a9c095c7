#pragma once

// The test libraries, compiled once into a precompiled header that every test program
// reuses: Catch2, its trompeloeil reporter, and rapidcheck with its state tests.

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <rapidcheck/state.h>
