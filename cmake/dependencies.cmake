# Every outside library, each from a Debian -dev package (see scripts/setup).
find_package(Threads REQUIRED)
find_package(TBB REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS program_options log filesystem)
find_package(PkgConfig REQUIRED)
pkg_check_modules(NGHTTP2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
find_path(NLOHMANN_JSON_INCLUDE_DIR nlohmann/json.hpp REQUIRED)
find_path(XXHASH_INCLUDE_DIR xxhash.h REQUIRED)

if(ALMONDTILLER_BUILD_TESTS)
    find_package(GTest REQUIRED)
    find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()
