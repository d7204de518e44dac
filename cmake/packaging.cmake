# The .deb with the two binaries.
set(CPACK_GENERATOR DEB)
set(CPACK_PACKAGE_NAME almondtiller)
set(CPACK_PACKAGE_CONTACT "almondtiller maintainers")
set(CPACK_PACKAGE_DESCRIPTION_SUMMARY
    "Serving system for multi-stage model pipelines")
set(CPACK_DEBIAN_PACKAGE_SHLIBDEPS ON)
set(CPACK_DEB_COMPONENT_INSTALL ON)
set(CPACK_COMPONENTS_ALL programs)
set(CPACK_DEBIAN_PROGRAMS_PACKAGE_NAME almondtiller)
include(CPack)
