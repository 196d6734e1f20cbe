# Helpers that define one static library per folder of src/ and one test program per file of tests/.

# Defines filbertlanding_<NAME> from all sources of the current folder.
# Usage: filbertlanding_library(NAME LINK <libraries...>)
function(filbertlanding_library NAME)
    cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
    file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    # Plug-ins register themselves from static initialisers, which a linker drops from
    # an archive that nothing refers to; object libraries keep them.
    if(NAME STREQUAL "policy" AND SOURCES)
        add_library(filbertlanding_${NAME} OBJECT ${SOURCES})
    elseif(SOURCES)
        add_library(filbertlanding_${NAME} STATIC ${SOURCES})
    else()
        add_library(filbertlanding_${NAME} INTERFACE)
        target_include_directories(filbertlanding_${NAME} INTERFACE ${PROJECT_SOURCE_DIR}/src)
        target_link_libraries(filbertlanding_${NAME} INTERFACE ${ARG_LINK})
        return()
    endif()
    # The fleet daemon is a module, which holds these libraries.
    set_target_properties(filbertlanding_${NAME} PROPERTIES POSITION_INDEPENDENT_CODE ON)
    target_compile_options(filbertlanding_${NAME} PRIVATE -fno-semantic-interposition)
    target_include_directories(filbertlanding_${NAME} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(filbertlanding_${NAME} PUBLIC ${ARG_LINK})
    target_precompile_headers(filbertlanding_${NAME} PRIVATE ${PROJECT_SOURCE_DIR}/cmake/precompiled.h)
endfunction()

# Defines a doctest program <NAME> from <NAME>.cpp and registers it with CTest.
# Usage: filbertlanding_test(NAME LINK <libraries...> [ARGS <arguments...>])
function(filbertlanding_test NAME)
    cmake_parse_arguments(ARG "" "" "LINK;ARGS" ${ARGN})
    add_executable(${NAME} ${NAME}.cpp)
    target_link_libraries(${NAME} PRIVATE filbertlanding_testmain ${ARG_LINK} rapidcheck)
    target_precompile_headers(${NAME} REUSE_FROM filbertlanding_testmain)
    add_test(NAME ${NAME} COMMAND ${NAME} ${ARG_ARGS})
    # The time limit only ends a test that hangs; under the sanitizers the longest one takes two minutes on an idle machine.
    # RapidCheck takes its seed from here, so that every run tests the same cases.
    set_tests_properties(${NAME} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 900)
endfunction()
