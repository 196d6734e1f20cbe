/** @file raw_socket.h Blocking sockets for tests that need to send and read exact bytes on loopback. */

#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace Filbertlanding {

constexpr int WaitLimitSeconds = 30; ///< Far above any expected wait; only a hang reaches it.

/** Waits until a condition holds, which other threads change; false after the limit. */
inline bool waitUntil(const std::function<bool()> &condition)
{
    for (int i = 0; i < WaitLimitSeconds * 500; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return condition();
}

/** A connected socket. */
class RawSocket
{
public:
    explicit RawSocket(int descriptor)
        : fd(descriptor)
    {
        const timeval limit{.tv_sec = WaitLimitSeconds, .tv_usec = 0};
        setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        setsockopt(this->fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    }

    RawSocket(RawSocket &&other) noexcept
        : fd(std::exchange(other.fd, -1))
    {
    }

    RawSocket &operator=(RawSocket &&) = delete;
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    ~RawSocket()
    {
        this->close();
    }

    static RawSocket connectTo(std::uint16_t port)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(port);
        const int result = ::connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        if (result != 0) {
            ::close(descriptor);
            return RawSocket(-1);
        }
        return RawSocket(descriptor);
    }

    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    /** Connects to an endpoint. Returns whether that succeeded. */
    bool connect(const sockaddr_in &endpoint) const
    {
        return ::connect(this->fd, reinterpret_cast<const sockaddr *>(&endpoint), sizeof(endpoint)) == 0;
    }

    /** Bounds the time of each connect, send and receive. */
    void setTimeLimit(const timeval &limit) const
    {
        setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        setsockopt(this->fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    }

    bool isOpen() const
    {
        return this->fd >= 0;
    }

    /** Returns whether the other side has ended the connection and all that it sent has been read. */
    bool hasEnded() const
    {
        char byte = 0;
        const auto count = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN);
    }

    bool sendAll(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto sent = ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /** Reads what is there, at least one byte; empty at the end of the connection. */
    std::string readSome(std::size_t limit = 65536) const
    {
        std::string bytes(limit, '\0');
        const auto count = ::recv(this->fd, bytes.data(), bytes.size(), 0);
        bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return bytes;
    }

    std::string readToEnd() const
    {
        std::string all;
        for (std::string part = this->readSome(); !part.empty(); part = this->readSome()) {
            all += part;
        }
        return all;
    }

    /** Reads until the text has come this many times, or the end. */
    std::string readUntil(std::string_view text, int times = 1) const
    {
        std::string all;
        while (countOf(all, text) < times) {
            const std::string part = this->readSome();
            if (part.empty()) {
                break;
            }
            all += part;
        }
        return all;
    }

    static int countOf(std::string_view all, std::string_view text)
    {
        int count = 0;
        for (auto at = all.find(text); at != std::string_view::npos; at = all.find(text, at + text.size())) {
            ++count;
        }
        return count;
    }

    void endSending() const
    {
        ::shutdown(this->fd, SHUT_WR);
    }

    /** Ends both directions, which also wakes a thread that reads. */
    void shutdownBoth() const
    {
        ::shutdown(this->fd, SHUT_RDWR);
    }

    /** Closes with a reset instead of an orderly end. */
    void reset()
    {
        const linger abort{.l_onoff = 1, .l_linger = 0};
        setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
        this->close();
    }

    void close()
    {
        if (this->fd >= 0) {
            ::close(std::exchange(this->fd, -1));
        }
    }

private:
    int fd;
};

/** A listener that runs a script on a thread of its own for each connection. */
class ScriptedServer
{
public:
    /** Script of a connection; the number counts connections from 0. */
    using Script = std::function<void(RawSocket &socket, int number)>;

    explicit ScriptedServer(Script connectionScript)
        : script(std::move(connectionScript))
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = RawSocket::loopback(0);
        if (::bind(this->fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(this->fd, 128) != 0) {
            throw std::runtime_error("no listener on loopback");
        }
        socklen_t size = sizeof(address);
        ::getsockname(this->fd, reinterpret_cast<sockaddr *>(&address), &size);
        this->port = ntohs(address.sin_port);
        this->acceptor = std::thread([this] {
            this->run();
        });
    }

    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    ~ScriptedServer()
    {
        ::shutdown(this->fd, SHUT_RDWR);
        this->acceptor.join();
        for (const auto &socket : this->sockets) {
            socket->shutdownBoth();
        }
        for (std::thread &thread : this->threads) {
            thread.join();
        }
        ::close(this->fd);
    }

    std::uint16_t port = 0; ///< Port on loopback.
    std::atomic<int> accepted{0}; ///< Connections so far.

private:
    void run()
    {
        for (;;) {
            const int descriptor = ::accept(this->fd, nullptr, nullptr);
            if (descriptor < 0) {
                return;
            }
            this->sockets.push_back(std::make_shared<RawSocket>(descriptor));
            this->threads.emplace_back([this, socket = this->sockets.back(), number = this->accepted++] {
                this->script(*socket, number);
            });
        }
    }

    Script script;
    int fd = -1;
    std::thread acceptor;
    std::vector<std::shared_ptr<RawSocket>> sockets;
    std::vector<std::thread> threads;
};

} // namespace Filbertlanding
