# The third-party libraries that only tests and proofs need.
find_package(rapidcheck CONFIG REQUIRED)
pkg_check_modules(cppunit REQUIRED IMPORTED_TARGET cppunit)
