/** @file http_connection_internal.h The parts of a connection of the HTTP server. Not for other folders. Includes Asio, so include it only in source files. */

#pragma once

#include "network/descriptor_pool.h"
#include "network/http_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Filbertlanding {

struct ServedConnection;

/** Returns the function that takes the response of a request. The first call counts; a request that is dropped without one gets an error response. */
HttpRespond makeResponder(HttpServerShared &shared, const std::weak_ptr<ServedConnection> &connection, std::uint64_t number);

/** Where the reading side of a connection stands. */
enum class HttpReadState {
    Paused, ///< Not reading: too many requests are outstanding, or nothing more may come.
    Waiting, ///< Waiting for the first byte of a request.
    Header, ///< A request has begun to arrive.
    Body, ///< The headers are complete.
};

/** Reads the requests of a connection and hands them to the handler. */
class HttpRequestReader
{
public:
    explicit HttpRequestReader(ServedConnection &itsConnection);
    HttpRequestReader(const HttpRequestReader &) = delete;
    HttpRequestReader &operator=(const HttpRequestReader &) = delete;
    ~HttpRequestReader();

    /** Begins with the next request, unless too many are outstanding or none may follow. */
    void readNext();

    /** Reads no further request. */
    void pause();

    /** Bounds the wait for the next request. */
    void armIdleTimer();

    /** Stops the timer. */
    void stop();

    /** Returns where the reading stands. */
    HttpReadState state() const;

    /** Returns whether bytes have arrived that belong to no request so far. */
    bool hasBufferedInput() const;

private:
    struct Input;

    void waitForRequest();
    void startHeader();
    void onHeader(boost::system::error_code error);
    void onRequest(boost::system::error_code error);
    void takeRequest();
    void callHandler(HttpRequest &&request, std::uint64_t number);
    void onReadError(boost::system::error_code error);
    void onEndOfStream();
    void refuse(ResultCode code, unsigned status, std::string_view message);
    void armTimer(Duration timeout);
    void onTimeout();

    ServedConnection &connection;
    boost::asio::steady_timer timer;
    std::unique_ptr<Input> input;
    HttpReadState readState = HttpReadState::Paused;
    std::uint64_t timerRound = 0; ///< Tells a timeout that was already under way from the current one.
};

/** Writes the responses of a connection in the order of its requests, and ends its sending side. */
class HttpResponseWriter
{
public:
    explicit HttpResponseWriter(ServedConnection &itsConnection);
    HttpResponseWriter(const HttpResponseWriter &) = delete;
    HttpResponseWriter &operator=(const HttpResponseWriter &) = delete;
    ~HttpResponseWriter();

    /**
     * Adds the place of the response of a request, and returns its number.
     * @param headOnly The request was HEAD: no body is sent.
     * @param closeAfter The connection ends with this response.
     */
    std::uint64_t addRequest(bool headOnly, bool closeAfter);

    /** Adds a 100 Continue, which is not a response of a request. */
    void addContinue();

    /** Adds a response with which the connection ends. */
    void addLast(HttpResponse response);

    /** Takes the response of a request. */
    void respond(std::uint64_t number, HttpResponse response);

    /** Writes the response in front, if it is known and none is being written. */
    void writeNext();

    /** Ends the connection without a reset, which could destroy the last answer on its way: input is dropped until the caller closes. */
    void linger();

    /** Stops the timer. */
    void stop();

    /** Returns the number of responses that have not been written. */
    std::size_t outstanding() const;

private:
    /** Place of one response in the order of its connection. */
    struct Slot {
        bool ready = false; ///< Whether the response is known.
        bool headOnly = false; ///< The request was HEAD: no body is sent.
        bool closeAfter = false; ///< The connection ends with this response.
        bool interim = false; ///< A 100 Continue, which is not a response of a request.
        HttpResponse response; ///< The response.
    };
    struct Output;

    bool endsWithFrontSlot() const;
    void fillOutput(Slot &slot, bool last);
    void armTimer(Duration timeout);
    void writeContinue();
    void onWritten(boost::system::error_code error, bool last);
    void discardInput();

    ServedConnection &connection;
    boost::asio::steady_timer timer; ///< Bounds a write, and the wait for the caller to close.
    std::unique_ptr<Output> output;
    std::deque<Slot> slots; ///< Responses that have not been written, in the order of the requests.
    std::uint64_t firstSlot = 0; ///< Number of the first slot.
    std::vector<char> discarded;
};

/** One connection. All members are touched on the thread of its loop only. */
struct ServedConnection : HttpConnection, std::enable_shared_from_this<ServedConnection> {
    ServedConnection(HttpServerShared &serverShared,
                     ConnectionTable &connectionTable,
                     boost::asio::io_context &loop,
                     boost::asio::ip::tcp::socket acceptedSocket,
                     std::function<void(const std::shared_ptr<HttpConnection> &)> closedHook);

    void start() override;
    void drain() override;
    void displace() override;
    void close() override;
    bool hasUnreadInput() const override;

    /** Answers with an error after the answers before it, and ends the connection with that. */
    void endWithError(ResultCode code, unsigned status, std::string_view message);

    /** Tells the table what the connection does, unless it is about to close. */
    void updatePhase();

    HttpServerShared &shared;
    ConnectionTable &table;
    boost::asio::io_context &io;
    boost::asio::ip::tcp::socket socket;
    DescriptorUse descriptor;
    std::function<void(const std::shared_ptr<HttpConnection> &)> onClosed;
    std::string remote; ///< Address of the caller.
    std::optional<std::chrono::steady_clock::time_point> drainEnd; ///< After this time a draining connection takes no further request.
    bool inputEnded = false; ///< No further request will be read.
    bool peerClosed = false; ///< The caller has closed its sending side.
    bool closed = false;
    HttpRequestReader reader{*this};
    HttpResponseWriter writer{*this};
};

} // namespace Filbertlanding
