set(VANILLADYKE_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Werror)

# Tests named in KNOWN-RED.txt fail for a known cause; they are built, and left out of a run's verdict.
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
file(STRINGS ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt known_red_lines)
list(TRANSFORM known_red_lines REPLACE " *\\|.*$" "")
list(JOIN known_red_lines ":" VANILLADYKE_KNOWN_RED)

# vanilladyke_library(NAME LINKS ...): the library of one layer, from src/vanilladyke/NAME/*.cpp,
# and its test program NAME_test from the *_test.cpp files beside them.
function(vanilladyke_library NAME)
  cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
  set(dir ${PROJECT_SOURCE_DIR}/src/vanilladyke/${NAME})
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.cpp ${dir}/*.cc)
  file(GLOB tests CONFIGURE_DEPENDS ${dir}/*_test.cpp)
  if(tests)
    list(REMOVE_ITEM sources ${tests})
  endif()
  list(TRANSFORM ARG_LINKS REPLACE "^([a-z]+)$" "vanilladyke_\\1")
  if(sources)
    add_library(vanilladyke_${NAME} STATIC ${sources})
    set(scope PUBLIC)
    target_compile_options(vanilladyke_${NAME} PRIVATE ${VANILLADYKE_WARNINGS})
    file(GLOB generated CONFIGURE_DEPENDS ${dir}/*.pb.cc)
    if(generated)
      set_source_files_properties(${generated} PROPERTIES COMPILE_OPTIONS -w)
    endif()
  else()
    add_library(vanilladyke_${NAME} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(vanilladyke_${NAME} ${scope} ${PROJECT_SOURCE_DIR}/include
                                                         ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(vanilladyke_${NAME} ${scope} ${ARG_LINKS})
  if(tests)
    add_executable(${NAME}_test ${tests})
    target_compile_options(${NAME}_test PRIVATE ${VANILLADYKE_WARNINGS})
    target_link_libraries(${NAME}_test PRIVATE vanilladyke_${NAME} GTest::gtest_main rapidcheck)
    add_test(NAME ${NAME} COMMAND ${NAME}_test)
    # Property tests draw from this seed, so that a verdict is the same every time.
    set_tests_properties(${NAME} PROPERTIES ENVIRONMENT
                         "RC_PARAMS=seed=20261202;GTEST_FILTER=-${VANILLADYKE_KNOWN_RED}")
  endif()
endfunction()
