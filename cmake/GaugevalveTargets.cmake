# Helpers that declare the workspace's targets, so each member's CMakeLists.txt is a few lines.
include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

# Where the package's own CMake files go.
set(GAUGEVALVE_PACKAGE_DIRECTORY ${CMAKE_INSTALL_LIBDIR}/cmake/gaugevalve)

add_library(gaugevalve_options INTERFACE)
target_compile_options(gaugevalve_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror)
if(GAUGEVALVE_SANITIZE)
  target_compile_options(gaugevalve_options INTERFACE -fsanitize=address,undefined
                                                      -fno-sanitize-recover=all)
  target_link_options(gaugevalve_options INTERFACE -fsanitize=address,undefined)
endif()

# Labels the tests declared below proofs/, so that a run can leave them out or run only them.
function(gaugevalve_label_proof test)
  if(CMAKE_CURRENT_SOURCE_DIR MATCHES "/proofs/")
    set_tests_properties(${test} PROPERTIES LABELS proof)
  endif()
endfunction()

# gaugevalve_library(<name> [SOURCES ...] [DEPENDS ...] [GENERATED ...])
# Declares libs/<name> as the target gaugevalve::<name>. Its public headers are below include/;
# committed generated code (protobuf) is below generated/ and is compiled without our warnings.
function(gaugevalve_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;GENERATED" ${ARGN})
  set(target gaugevalve_${name})
  if(ARG_SOURCES OR ARG_GENERATED)
    add_library(${target} STATIC ${ARG_SOURCES} ${ARG_GENERATED})
    set(scope PUBLIC)
    target_link_libraries(${target} PRIVATE $<BUILD_INTERFACE:gaugevalve_options>)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  add_library(gaugevalve::${name} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
  target_compile_features(${target} ${scope} cxx_std_20)
  target_include_directories(
    ${target} ${scope} $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  if(ARG_GENERATED)
    target_include_directories(
      ${target} SYSTEM PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/generated>)
    set_source_files_properties(${ARG_GENERATED} PROPERTIES COMPILE_OPTIONS "-w")
    install(
      DIRECTORY generated/
      DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}
      COMPONENT development
      FILES_MATCHING
      PATTERN "*.h")
  endif()
  target_link_libraries(${target} ${scope} ${ARG_DEPENDS})
  install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} COMPONENT development)
  install(TARGETS ${target} EXPORT gaugevalveTargets COMPONENT development)
endfunction()

# Installs a program declared in the current directory with the component that its users install:
# `runtime` for a deployment's machines and operators, `trial` for stand-ins, examples and
# benchmarks. What proofs/ declares is for this workspace only.
function(gaugevalve_install_program name)
  if(CMAKE_CURRENT_SOURCE_DIR MATCHES "/proofs/")
    return()
  endif()
  set(component trial)
  if(CMAKE_CURRENT_SOURCE_DIR MATCHES "/(daemons|tools)/")
    set(component runtime)
  endif()
  install(TARGETS ${name} DESTINATION ${CMAKE_INSTALL_BINDIR} COMPONENT ${component})
endfunction()

# gaugevalve_program(<name> [SOURCES ...] [DEPENDS ...])
function(gaugevalve_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(${name} PRIVATE gaugevalve_options ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  gaugevalve_install_program(${name})
endfunction()

# gaugevalve_test(<name> [SOURCES ...] [DEPENDS ...])
# A CppUnit test program; gaugevalve::testing brings main().
function(gaugevalve_test name)
  if(NOT BUILD_TESTING)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE gaugevalve_options gaugevalve::testing ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  add_test(NAME ${name} COMMAND ${name})
  gaugevalve_label_proof(${name})
endfunction()

# gaugevalve_test_help(<program> <flag>): tests that the program's --help lists this flag of its own.
function(gaugevalve_test_help program flag)
  if(BUILD_TESTING)
    add_test(NAME ${program}_help COMMAND ${program} --help)
    set_tests_properties(${program}_help PROPERTIES PASS_REGULAR_EXPRESSION "\n    ${flag} \\(")
  endif()
endfunction()

# gaugevalve_test_early_hangup(<program>): tests that a SIGHUP that comes while shared objects are
# initialised does not end the program. The sanitizers' runtime must be the first shared object.
function(gaugevalve_test_early_hangup program)
  if(BUILD_TESTING AND NOT GAUGEVALVE_SANITIZE)
    add_test(NAME ${program}_early_hangup COMMAND ${program} --version)
    set_tests_properties(${program}_early_hangup PROPERTIES
                         ENVIRONMENT "LD_PRELOAD=$<TARGET_FILE:gaugevalve_raise_hangup>")
  endif()
endfunction()

# gaugevalve_proof(<name> [SOURCES ...] [DEPENDS ...] [ARGUMENTS ...])
# A program of RapidCheck properties and their mutants; gaugevalve::proof brings main(). ARGUMENTS
# are its flags in CI.
function(gaugevalve_proof name)
  if(NOT BUILD_TESTING)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;ARGUMENTS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE gaugevalve_options gaugevalve::proof ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/proofs)
  add_test(NAME ${name} COMMAND ${name} ${ARG_ARGUMENTS})
  gaugevalve_label_proof(${name})
endfunction()

# gaugevalve_fuzzer(<name> [SOURCES ...] [DEPENDS ...])
# A libFuzzer target with its corpus in the caller's corpus/ directory. With clang it is linked with
# libFuzzer; otherwise with a replay main that runs the corpus once, which is what CI's tests do.
function(gaugevalve_fuzzer name)
  if(NOT BUILD_TESTING)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE gaugevalve_options ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/fuzzers)
  if(GAUGEVALVE_FUZZERS)
    target_compile_options(${name} PRIVATE -fsanitize=fuzzer)
    target_link_options(${name} PRIVATE -fsanitize=fuzzer)
  else()
    target_link_libraries(${name} PRIVATE gaugevalve::corpus_replay)
    add_test(NAME ${name}_corpus COMMAND ${name} ${CMAKE_CURRENT_SOURCE_DIR}/corpus)
  endif()
endfunction()

# Installs what find_package(gaugevalve) reads, and the operators' pages and trees to start from.
function(gaugevalve_install_package)
  write_basic_package_version_file(
    ${CMAKE_CURRENT_BINARY_DIR}/gaugevalveConfigVersion.cmake COMPATIBILITY SameMinorVersion)
  install(
    EXPORT gaugevalveTargets
    NAMESPACE gaugevalve::
    DESTINATION ${GAUGEVALVE_PACKAGE_DIRECTORY}
    COMPONENT development)
  install(
    FILES cmake/gaugevalveConfig.cmake cmake/Dependencies.cmake
          ${CMAKE_CURRENT_BINARY_DIR}/gaugevalveConfigVersion.cmake
    DESTINATION ${GAUGEVALVE_PACKAGE_DIRECTORY}
    COMPONENT development)
  install(
    DIRECTORY docs/operators examples/settings examples/nodes
    DESTINATION ${CMAKE_INSTALL_DOCDIR}
    COMPONENT runtime)
  install(
    FILES docs/SETTINGS.md docs/LOG-EVENTS.md
    DESTINATION ${CMAKE_INSTALL_DOCDIR}
    COMPONENT runtime)
endfunction()

# Tests that an installation works without the workspace: installs into the build directory, runs the
# programs, and builds the examples against the package. Not with the sanitizers, which the
# package's users would have to link too.
function(gaugevalve_test_install)
  if(NOT BUILD_TESTING OR GAUGEVALVE_SANITIZE)
    return()
  endif()
  add_test(
    NAME install
    COMMAND
      ${CMAKE_COMMAND} -D BUILD_DIRECTORY=${CMAKE_BINARY_DIR} -D VERSION=${PROJECT_VERSION}
      -D GENERATOR=${CMAKE_GENERATOR} -P ${CMAKE_CURRENT_SOURCE_DIR}/cmake/tests/install_test.cmake)
endfunction()
