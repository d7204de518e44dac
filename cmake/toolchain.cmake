# Compiler cache, linker and sanitizers shared by every target.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

find_program(LLD_PROGRAM ld.lld)
if(LLD_PROGRAM)
    add_link_options(-fuse-ld=lld)
endif()

set(ALMONDTILLER_SANITIZE "" CACHE STRING
    "Sanitizers to build with: 'address,undefined' or 'thread'")
if(ALMONDTILLER_SANITIZE)
    add_compile_options(-fsanitize=${ALMONDTILLER_SANITIZE}
        -fno-omit-frame-pointer)
    add_link_options(-fsanitize=${ALMONDTILLER_SANITIZE})
endif()

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow=local)
if(CMAKE_CXX_COMPILER_ID STREQUAL GNU)
    # False positives of GCC 12 at -O3, in nlohmann/json and std::string.
    add_compile_options(-Wno-maybe-uninitialized -Wno-restrict)
endif()
