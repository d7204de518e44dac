# almondtiller_package(<name> [FOLDER dir] [LINKS packages...] [EXTERNAL libs...])
#
# Declares the library target almondtiller_<name> from every source of the
# current folder. LINKS may name only packages declared before this one, so
# that dependencies point down.
function(almondtiller_package name)
    cmake_parse_arguments(arg "" "" "LINKS;EXTERNAL" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    set(target almondtiller_${name})
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC
        $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/src/libs>
        $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/src>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/almondtiller>)
    foreach(link IN LISTS arg_LINKS)
        if(NOT TARGET almondtiller_${link})
            message(FATAL_ERROR
                "package ${name} may not link ${link}: "
                "it is not declared before it")
        endif()
        target_link_libraries(${target} PUBLIC almondtiller_${link})
    endforeach()
    target_link_libraries(${target} PUBLIC ${arg_EXTERNAL} Threads::Threads)
    set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})

    file(GLOB headers CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.h)
    install(TARGETS ${target} EXPORT almondtiller-${name}
        ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR} COMPONENT ${name})
    install(FILES ${headers} COMPONENT ${name} DESTINATION
        ${CMAKE_INSTALL_INCLUDEDIR}/almondtiller/${name})
endfunction()

# almondtiller_program(<name> LINKS packages... EXTERNAL libs...)
#
# Declares an executable from every source of the current folder.
function(almondtiller_program name)
    cmake_parse_arguments(arg "" "" "LINKS;EXTERNAL" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    list(TRANSFORM arg_LINKS PREPEND almondtiller_)
    target_link_libraries(${name} PRIVATE ${arg_LINKS} ${arg_EXTERNAL})
    set_target_properties(${name} PROPERTIES
        RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# The entries of KNOWN-RED.txt, `SUITE.NAME | ...` a line, as a GTest filter.
set(known_red_file ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
set(known_red_filter "")
if(EXISTS ${known_red_file})
    set_property(DIRECTORY APPEND PROPERTY
        CMAKE_CONFIGURE_DEPENDS ${known_red_file})
    file(STRINGS ${known_red_file} known_red_lines REGEX "^[A-Za-z0-9_.]+ [|]")
    foreach(line IN LISTS known_red_lines)
        string(REGEX REPLACE " .*" "" test_name "${line}")
        string(APPEND known_red_filter ":-${test_name}")
    endforeach()
    string(REPLACE ":-" ":" known_red_filter "${known_red_filter}")
    string(REGEX REPLACE "^:" "-" known_red_filter "${known_red_filter}")
endif()
if(NOT known_red_filter)
    # An empty filter would run no test.
    set(known_red_filter "*")
endif()

# almondtiller_test(<name> LINKS packages... EXTERNAL libs...)
#
# Declares one test program from every source of the current folder and
# registers it with CTest under its own name.
function(almondtiller_test name)
    cmake_parse_arguments(arg "" "" "LINKS;EXTERNAL" ${ARGN})
    almondtiller_program(${name} LINKS ${arg_LINKS} EXTERNAL ${arg_EXTERNAL}
        GTest::gtest GTest::gtest_main ${RAPIDCHECK_LIBRARY})
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES
        ENVIRONMENT "GTEST_FILTER=${known_red_filter};RC_PARAMS=seed=20261204;ALMONDTILLER_BIN=${CMAKE_BINARY_DIR}/bin;ALMONDTILLER_SOURCE=${CMAKE_SOURCE_DIR}"
        TIMEOUT 300)
endfunction()
