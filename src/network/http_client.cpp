/** @file http_client.cpp HTTP/1.1 client: distributes the calls to its event loops, and runs these. */

#include "network/http_client.h"

#include "network/chrono_func.h"
#include "network/http_client_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;

} // namespace

/** Loops of the client. */
struct HttpClient::Core {
    Core(HttpClientSettings clientSettings, NetworkCounters &networkCounters)
        : settings(clientSettings)
        , counters(networkCounters)
    {
        const unsigned count = this->settings.loop != nullptr ? 1U : std::max(1U, this->settings.threads);
        for (unsigned i = 0; i < count; ++i) {
            this->loops.push_back(makeHttpClientLoop(this->settings, this->counters, this->silentHook));
            if (this->settings.loop == nullptr) {
                this->threads.emplace_back([loop = this->loops.back().get()] {
                    loop->context().run();
                });
            }
        }
    }

    HttpClientSettings settings;
    NetworkCounters &counters;
    std::function<void(const HttpAddress &)> silentHook;
    std::vector<std::unique_ptr<HttpClientLoop>> loops;
    std::vector<std::thread> threads; ///< Run the loops, in the same order; empty on a loop of the owner.
    std::atomic<std::uint64_t> nextNumber{1};
    std::atomic<bool> stopped{false};
};

HttpClient::HttpClient(HttpClientSettings settings, NetworkCounters &counters)
    : core(std::make_shared<Core>(settings, counters))
{
}

HttpClient::~HttpClient()
{
    this->stop();
}

void HttpClient::setSilentHook(std::function<void(const HttpAddress &)> hook)
{
    this->core->silentHook = std::move(hook);
}

std::uint64_t HttpClient::send(const HttpAddress &target, HttpRequest request, HttpSendOptions options, HttpDone done)
{
    Core &state = *this->core;
    if (state.stopped) {
        done({ResultCode::BrokenBeforeSend, false, {}});
        return 0;
    }
    const std::size_t index = std::hash<std::string>{}(target.address + ":" + std::to_string(target.port)) % state.loops.size();
    HttpClientLoop &loop = *state.loops[index];
    // The number tells cancel() which loop the call lives on.
    const std::uint64_t number = state.nextNumber++ * state.loops.size() + index;
    HttpCall call{number, target, std::move(request), options, std::move(done), std::chrono::steady_clock::now() + chronoOf(options.timeout)};
    net::post(loop.context(), [&loop, moved = std::move(call)]() mutable {
        loop.begin(std::move(moved));
    });
    return number;
}

void HttpClient::cancel(std::uint64_t number)
{
    Core &state = *this->core;
    HttpClientLoop &loop = *state.loops[number % state.loops.size()];
    net::post(loop.context(), [&loop, number] {
        loop.cancel(number);
    });
}

void HttpClient::stop()
{
    Core &state = *this->core;
    if (state.stopped.exchange(true)) {
        return;
    }
    if (state.settings.loop != nullptr) {
        state.loops.front()->shutDown();
        return;
    }
    for (const auto &loop : state.loops) {
        net::post(loop->context(), [target = loop.get()] {
            target->shutDown();
        });
    }
    for (std::size_t i = 0; i < state.loops.size(); ++i) {
        state.threads[i].join();
        // Calls that came in while the loop ended get their outcome here.
        state.loops[i]->context().restart();
        state.loops[i]->context().poll();
    }
}

} // namespace Filbertlanding
