#include "cases.h"

#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>

auto main(int argc, char** argv) -> int
{
    using namespace review;
    const auto cases = std::map<std::string, int (*)(const std::string&, bool)>{
        {"doubled_rejection", doubled_rejection},
        {"odd_piece_key", odd_piece_key},
        {"many_pieces", many_pieces},
        {"many_fields", many_fields},
        {"odd_entry", odd_entry},
        {"slow_reader", slow_reader}};
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: review_cases CASE RECORD\n";
        return could_not_run;
    }
    // Crowds of clients and engines share this process.
    auto descriptors = rlimit();
    getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = std::min<rlim_t>(descriptors.rlim_max, 8192);
    setrlimit(RLIMIT_NOFILE, &descriptors);
    const auto* trouble = std::getenv("TROUBLE");
    const auto result = found->second(argv[2], trouble == nullptr ||
                                                   std::string(trouble) != "0");
    std::cout << argv[1]
              << (result == held     ? ": held\n"
                  : result == broken ? ": broken\n"
                                     : ": could not run\n");
    std::cout.flush();
    // Threads of engines may still run.
    std::_Exit(result);
}
