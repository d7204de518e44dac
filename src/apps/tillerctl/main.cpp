#include <iostream>

auto main() -> int
{
    std::cout << "tillerctl 0.1.0\n";
    return 0;
}
