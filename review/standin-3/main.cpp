#include "cases.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

/// Usage: review_cases_3 CASE RECORD. TROUBLE=0 leaves the disruption out.
auto main(int argc, char** argv) -> int
{
    using namespace review;
    std::signal(SIGPIPE, SIG_IGN);
    const auto cases = std::map<std::string, outcome (*)(record&, bool)>{
        {"late-copy", run_late_copy},
        {"omitted-stage", run_omitted_stage},
        {"slow-reader", run_slow_reader},
        {"unmarked-failure", run_unmarked_failure},
    };
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: review_cases_3 CASE RECORD\n";
        return 2;
    }
    const auto* trouble = std::getenv("TROUBLE");
    auto log = record(argv[2]);
    const auto result =
        found->second(log, trouble == nullptr || std::string(trouble) != "0");
    const auto text = result == outcome::held     ? "the rule held"
                      : result == outcome::broken ? "the rule was broken"
                                                  : "the case could not run";
    log.write(text);
    std::cout << argv[1] << ": " << text << "\n";
    return int(result);
}
