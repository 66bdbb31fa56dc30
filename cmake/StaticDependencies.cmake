# Links third-party libraries into the programs where their archives are installed. A machine with a
# twentieth of a core spends most of a program's start on finding and relocating shared objects:
# `gaugevalve-platform --version` takes 6.2 ms of processor with 44 of them (abseil alone has 36).
# Left shared: libevent, since libevhtp brings the shared one as well, and what has no archive.

# Points the imported target at the archive beside its shared object, if there is one.
function(gaugevalve_use_archive target)
  get_target_property(aliased ${target} ALIASED_TARGET)
  if(aliased)
    return()
  endif()
  foreach(property IMPORTED_LOCATION IMPORTED_LOCATION_NONE IMPORTED_LOCATION_RELEASE)
    get_target_property(shared_object ${target} ${property})
    if(NOT shared_object MATCHES "\\.so")
      continue()
    endif()
    string(REGEX REPLACE "\\.so[.0-9]*$" ".a" archive "${shared_object}")
    if(EXISTS "${archive}")
      set_target_properties(${target} PROPERTIES ${property} "${archive}")
    endif()
  endforeach()
endfunction()

# Does the same for a library of pkg-config's, whose path stands in its link interface.
function(gaugevalve_link_archive target)
  get_target_property(libraries ${target} INTERFACE_LINK_LIBRARIES)
  string(REGEX REPLACE "\\.so[.0-9]*$" ".a" archive "${libraries}")
  if(EXISTS "${archive}")
    set_target_properties(${target} PROPERTIES INTERFACE_LINK_LIBRARIES "${archive}")
  endif()
endfunction()

gaugevalve_link_archive(PkgConfig::zstd)
gaugevalve_link_archive(PkgConfig::xxhash)

get_property(imported_targets DIRECTORY PROPERTY IMPORTED_TARGETS)
foreach(target ${imported_targets})
  if(target MATCHES "^(absl::|yaml-cpp|protobuf::)")
    gaugevalve_use_archive(${target})
  endif()
endforeach()
