#include "load/open_loop.h"

#include "core/random.h"

#include <atomic>
#include <cmath>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace almondtiller::load {

namespace {

auto wait_until(const core::runtime_clock& clock, core::time_point time) -> void
{
    auto mutex = std::mutex();
    auto never = std::condition_variable();
    auto lock = std::unique_lock(mutex);
    clock.wait_until(lock, never, time, [] { return false; });
}

} // namespace

auto poisson_schedule(double rate, core::duration length, std::uint64_t seed)
    -> schedule
{
    auto random = core::random_source(seed);
    auto arrivals = schedule();
    auto at = std::chrono::duration<double>(0);
    while (true) {
        at += std::chrono::duration<double>(-std::log1p(-random.unit()) / rate);
        const auto time = std::chrono::duration_cast<core::duration>(at);
        if (time >= length) {
            return arrivals;
        }
        arrivals.push_back(time);
    }
}

auto run_open_loop(const schedule& arrivals, std::size_t workers,
                   const sender& send) -> void
{
    const auto clock = core::runtime_clock();
    const auto start = clock.now();
    auto next = std::atomic<std::size_t>(0);
    auto threads = std::vector<std::thread>();
    for (auto worker = std::size_t(0); worker < workers; ++worker) {
        threads.emplace_back([&, worker] {
            for (auto index = next++; index < arrivals.size(); index = next++) {
                const auto intended = start + arrivals[index];
                wait_until(clock, intended);
                send(index, worker, intended);
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
}

} // namespace almondtiller::load
