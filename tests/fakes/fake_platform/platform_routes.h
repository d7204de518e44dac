#pragma once

#include "call_meter.h"
#include "core/clock.h"
#include "core/random.h"
#include "instance_list.h"
#include "object_table.h"
#include "standin/journal.h"

#include <condition_variable>
#include <mutex>
#include <string>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace almondtiller::fake_platform {

/// What the command line sets.
struct platform_options
{
    std::string listen = "127.0.0.1:0";
    std::string journal_path;
    core::milliseconds list_lag{0};
    std::uint64_t reads_per_second = 0;
    std::uint64_t writes_per_second = 0;
};

/// The object API and the instance list over HTTP.
class platform_routes
{
public:
    explicit platform_routes(const platform_options& options);

    auto install(httplib::Server& http) -> void;

private:
    struct fault
    {
        /// up, down, slow or drop_answers.
        std::string mode = "up";
        core::milliseconds delay{0};
        double probability = 1.0;
    };

    using guarded_call = void (platform_routes::*)(const httplib::Request&,
                                                   httplib::Response&);

    /// Counts the call, refuses it over the rate or in an outage, delays it.
    auto guard(const httplib::Request& request, httplib::Response& response,
               const std::string& what, guarded_call call) -> void;
    auto drops_answer() -> bool;
    auto get(const httplib::Request& request, httplib::Response& response)
        -> void;
    auto list(const httplib::Request& request, httplib::Response& response)
        -> void;
    auto put(const httplib::Request& request, httplib::Response& response)
        -> void;
    auto remove(const httplib::Request& request, httplib::Response& response)
        -> void;
    auto watch(const httplib::Request& request, httplib::Response& response)
        -> void;
    auto instances(const httplib::Request& request, httplib::Response& response)
        -> void;
    auto answer_write(const httplib::Request& request,
                      httplib::Response& response, const std::string& what,
                      const write_outcome& outcome) -> void;
    auto set_fault(const httplib::Request& request, httplib::Response& response)
        -> void;
    auto install_admin(httplib::Server& http) -> void;

    core::runtime_clock clock;
    standin::journal record;
    std::mutex mutex;
    std::condition_variable changed;
    object_table objects;
    call_meter meter;
    instance_list instance_table;
    core::random_source random;
    fault current;
};

} // namespace almondtiller::fake_platform
