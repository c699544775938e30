add_library(lagoonladder_warnings INTERFACE)
target_compile_options(lagoonladder_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow)

# Off by default: another compiler or build type may warn about code that is correct.
option(LAGOONLADDER_WARNINGS_AS_ERRORS "Warnings stop the build" OFF)
if(LAGOONLADDER_WARNINGS_AS_ERRORS)
  target_compile_options(lagoonladder_warnings INTERFACE -Werror)
endif()

# lagoonladder_library(NAME DEPENDS targets...): a library from internal/*.cpp
# with its public header below include/.
function(lagoonladder_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS internal/*.cpp)
  add_library(lagoonladder_${name} STATIC ${sources})
  target_include_directories(lagoonladder_${name} PUBLIC include PRIVATE internal)
  target_link_libraries(lagoonladder_${name} PUBLIC ${ARG_DEPENDS}
    PRIVATE ${ARG_PRIVATE_DEPENDS} lagoonladder_warnings)
endfunction()

if(LAGOONLADDER_TESTS)
  include(Catch)
endif()

# lagoonladder_test(NAME): one Catch2 program from tests/*.cpp; ctest lists each
# Catch2 test case as "NAME: case".
function(lagoonladder_test name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS tests/*.cpp)
  if(NOT sources OR NOT LAGOONLADDER_TESTS)
    return()
  endif()
  add_executable(${name}_test ${sources} ${PROJECT_SOURCE_DIR}/cmake/catch_main.cpp)
  target_include_directories(${name}_test PRIVATE internal tests ${PROJECT_SOURCE_DIR}/tests/support)
  target_link_libraries(${name}_test PRIVATE lagoonladder_${name} ${ARG_DEPENDS}
    Catch2::Catch2 ${RAPIDCHECK} lagoonladder_warnings)
  # RapidCheck otherwise picks a new seed on each run and CI could change its verdict.
  catch_discover_tests(${name}_test TEST_PREFIX "${name}: "
    PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200" TIMEOUT 300)
endfunction()
