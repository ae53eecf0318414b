# Declares a library of this repository with its test program and its benchmark program.
#
#   filbertroad_library(
#     NAME control
#     SOURCES control_state.cpp
#     DEPENDS wire model          # libraries of this repository
#     LIBRARIES protobuf          # libraries of installed packages
#     TESTS control_state_test.cpp
#     BENCHMARKS control_state_benchmark.cpp)
#
# The CMake target is filbertroad_NAME. Without SOURCES it is a header-only library. ctest runs each
# test of the program NAME_test as NAME.SUITE.CASE. The benchmark program is NAME_benchmark. Headers
# are next to the sources and are not listed.
function(filbertroad_library)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS;LIBRARIES;TESTS;BENCHMARKS" ${ARGN})
  set(target filbertroad_${ARG_NAME})
  list(TRANSFORM ARG_DEPENDS PREPEND filbertroad_)
  if(ARG_SOURCES)
    add_library(${target} STATIC ${ARG_SOURCES})
    set(scope PUBLIC)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${target} ${scope} ${PROJECT_SOURCE_DIR})
  target_link_libraries(${target} ${scope} ${ARG_DEPENDS} ${ARG_LIBRARIES})
  if(ARG_TESTS AND FILBERTROAD_TESTS)
    add_executable(${ARG_NAME}_test ${ARG_TESTS})
    target_link_libraries(${ARG_NAME}_test PRIVATE ${target} GTest::gmock GTest::gtest_main)
    gtest_discover_tests(${ARG_NAME}_test TEST_PREFIX ${ARG_NAME}. PROPERTIES TIMEOUT 300
                         DISCOVERY_TIMEOUT 60)
  endif()
  if(ARG_BENCHMARKS AND FILBERTROAD_TESTS)
    add_executable(${ARG_NAME}_benchmark ${ARG_BENCHMARKS})
    target_link_libraries(${ARG_NAME}_benchmark PRIVATE ${target} benchmark::benchmark_main)
  endif()
endfunction()
