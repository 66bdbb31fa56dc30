# The third-party libraries that the libraries and programs need, found once for the whole workspace.
# Each becomes an imported target. Installed with the package, whose users need the same.
find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(nng CONFIG REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(Protobuf REQUIRED)
find_package(PkgConfig REQUIRED)

pkg_check_modules(libevent REQUIRED IMPORTED_TARGET libevent libevent_pthreads)
pkg_check_modules(evhtp REQUIRED IMPORTED_TARGET evhtp)
pkg_check_modules(log4cplus REQUIRED IMPORTED_TARGET log4cplus)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(nettle REQUIRED IMPORTED_TARGET nettle)
pkg_check_modules(zstd REQUIRED IMPORTED_TARGET libzstd)
pkg_check_modules(gnutls REQUIRED IMPORTED_TARGET gnutls)
pkg_check_modules(ngtcp2 REQUIRED IMPORTED_TARGET libngtcp2 libngtcp2_crypto_gnutls)
pkg_check_modules(nghttp3 REQUIRED IMPORTED_TARGET libnghttp3)

# http-parser ships neither a CMake package nor a pkg-config file.
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)
find_path(HTTP_PARSER_INCLUDE_DIRECTORY http_parser.h REQUIRED)
if(NOT TARGET http_parser::http_parser)
  add_library(http_parser::http_parser UNKNOWN IMPORTED)
  set_target_properties(
    http_parser::http_parser
    PROPERTIES IMPORTED_LOCATION ${HTTP_PARSER_LIBRARY}
               INTERFACE_INCLUDE_DIRECTORIES ${HTTP_PARSER_INCLUDE_DIRECTORY})
endif()
