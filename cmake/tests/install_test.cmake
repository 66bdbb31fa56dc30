# Installs a built workspace and uses the installation as its users would. Run by ctest; needs
# BUILD_DIRECTORY (with everything built), VERSION and GENERATOR. Works below
# BUILD_DIRECTORY/install_test only.
cmake_minimum_required(VERSION 3.25)

set(directory ${BUILD_DIRECTORY}/install_test)
set(prefix ${directory}/prefix)

# Runs a command; a failure ends the test with what the command printed.
function(run)
  execute_process(
    COMMAND ${ARGN}
    RESULT_VARIABLE status
    OUTPUT_VARIABLE output
    ERROR_VARIABLE output)
  if(NOT status EQUAL 0)
    string(JOIN " " command ${ARGN})
    message(FATAL_ERROR "${command}\nended with ${status}:\n${output}")
  endif()
endfunction()

function(require_file path)
  if(NOT EXISTS ${prefix}/${path})
    message(FATAL_ERROR "${path} was not installed")
  endif()
endfunction()

function(refuse_file path)
  if(EXISTS ${prefix}/${path})
    message(FATAL_ERROR "${path} does not belong to this component")
  endif()
endfunction()

file(REMOVE_RECURSE ${directory})

# A deployment's machine: the programs and pages, no stand-ins, no headers.
run(${CMAKE_COMMAND} --install ${BUILD_DIRECTORY} --prefix ${prefix} --component runtime --strip)
foreach(program gaugevalve-balancer gaugevalve-agent gaugevalvectl gaugevalve-load gaugevalve-lab)
  require_file(bin/${program})
endforeach()
require_file(share/doc/gaugevalve/operators/install.md)
require_file(share/doc/gaugevalve/settings/three-zones.yaml)
refuse_file(bin/standin-store)
refuse_file(include)
run(${prefix}/bin/gaugevalvectl check ${prefix}/share/doc/gaugevalve/settings/three-zones.yaml)
foreach(role balancer agent)
  run(${prefix}/bin/gaugevalve-${role} --settings ${prefix}/share/doc/gaugevalve/nodes/${role}.yaml
      --check)
endforeach()

# A machine for trials: the stand-ins too; never the proofs' programs.
run(${CMAKE_COMMAND} --install ${BUILD_DIRECTORY} --prefix ${prefix} --component trial --strip)
require_file(bin/standin-store)
refuse_file(bin/store-stampede)

# A project that embeds the libraries.
run(${CMAKE_COMMAND} --install ${BUILD_DIRECTORY} --prefix ${prefix} --component development)
run(${CMAKE_COMMAND} -S ${CMAKE_CURRENT_LIST_DIR}/consumer -B ${directory}/consumer -G ${GENERATOR}
    -D CMAKE_PREFIX_PATH=${prefix} -D GAUGEVALVE_VERSION=${VERSION})
run(${CMAKE_COMMAND} --build ${directory}/consumer --parallel 2)
foreach(example routing membership)
  run(${directory}/consumer/${example}-example)
endforeach()

file(REMOVE_RECURSE ${directory})
