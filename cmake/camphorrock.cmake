# Build helpers: one static library and one test program per layer.
#
# A layer's sources are found by path, so a new file needs no change here:
#   NAME/**/*.cpp           the library camphorrock_NAME
#   NAME/**/*_main.cpp      excluded; each program is declared with camphorrock_program
#   NAME/**/testing/*.cpp   the test program NAME_test, run by ctest as NAME

# Object files that every test program links: Catch2's main and the trompeloeil reporter.
function(camphorrock_test_main)
    add_library(camphorrock_test_main OBJECT testing/test_main.cpp testing/precompiled.cpp)
    set_source_files_properties(testing/test_main.cpp PROPERTIES SKIP_PRECOMPILE_HEADERS ON)
    target_precompile_headers(camphorrock_test_main PUBLIC testing/test_headers.hpp)
endfunction()

# camphorrock_library(NAME DEPENDENCY...): the layer's library and, if it has tests, NAME_test. A
# layer without sources becomes an interface library.
function(camphorrock_library NAME)
    file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${NAME}/*.cpp)
    set(TESTS ${SOURCES})
    list(FILTER SOURCES EXCLUDE REGEX "/testing/|_main\\.cpp$")
    list(FILTER TESTS INCLUDE REGEX "/testing/")
    if(SOURCES)
        add_library(camphorrock_${NAME} STATIC ${SOURCES})
        target_link_libraries(camphorrock_${NAME} PUBLIC ${ARGN})
    else()
        add_library(camphorrock_${NAME} INTERFACE)
        target_link_libraries(camphorrock_${NAME} INTERFACE ${ARGN})
    endif()
    if(TESTS)
        add_executable(${NAME}_test ${TESTS} $<TARGET_OBJECTS:camphorrock_test_main>)
        target_precompile_headers(${NAME}_test REUSE_FROM camphorrock_test_main)
        target_link_libraries(${NAME}_test PRIVATE camphorrock_${NAME} rapidcheck)
        add_test(NAME ${NAME} COMMAND ${NAME}_test)
        # The seed is fixed so that each CI run gives the same result.
        set_tests_properties(${NAME} PROPERTIES
            ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200" TIMEOUT 300)
    endif()
endfunction()

# camphorrock_program(NAME MAIN DEPENDENCY...): a program, if its source file MAIN exists.
function(camphorrock_program NAME MAIN)
    if(EXISTS ${CMAKE_SOURCE_DIR}/${MAIN})
        add_executable(${NAME} ${MAIN})
        target_link_libraries(${NAME} PRIVATE ${ARGN})
    endif()
endfunction()
