#include "kernel/kernel.h"
#include "services/http/http_service.h"

#include <iostream>

auto main() -> int
{
    std::cout << "almondtiller 0.1.0\n";
    return 0;
}
