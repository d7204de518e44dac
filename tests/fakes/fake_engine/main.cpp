#include "standin/standin.h"

auto main(int argc, char** argv) -> int
{
    return almondtiller::standin::run_upstream(argc, argv, "generate");
}
