/** @file http_responder.cpp Gives the response of a request to its connection, from any thread. */

#include "network/http_connection_internal.h"

#include <boost/asio/dispatch.hpp>

#include <atomic>

namespace Filbertlanding {

namespace {

    /** Gives one response to its connection exactly once, even when the handler forgets to. */
    class Responder
    {
    public:
        Responder(HttpServerShared &serverShared, std::weak_ptr<ServedConnection> itsConnection, std::uint64_t slotNumber)
            : owner(serverShared.owner.lock())
            , shared(serverShared)
            , connection(std::move(itsConnection))
            , number(slotNumber)
        {
        }

        Responder(const Responder &) = delete;
        Responder &operator=(const Responder &) = delete;

        ~Responder()
        {
            if (!this->used) {
                this->give(errorResponse(ResultCode::Internal, "the request was dropped without an answer"));
            }
        }

        void give(HttpResponse response)
        {
            if (this->used.exchange(true)) {
                ++this->shared.counters.httpDuplicateResponses;
                return;
            }
            const auto target = this->connection.lock();
            if (target == nullptr) {
                ++this->shared.counters.httpResponsesDropped;
                return;
            }
            // The queued function holds a weak pointer, so that a loop that has stopped does not keep its connections alive.
            auto &dropped = this->shared.counters.httpResponsesDropped;
            boost::asio::dispatch(target->io, [weak = this->connection, slot = this->number, answer = std::move(response), &dropped]() mutable {
                if (const auto alive = weak.lock()) {
                    alive->writer.respond(slot, std::move(answer));
                } else {
                    ++dropped;
                }
            });
        }

    private:
        std::shared_ptr<void> owner; ///< Keeps the event loops alive.
        HttpServerShared &shared;
        std::weak_ptr<ServedConnection> connection;
        std::uint64_t number;
        std::atomic<bool> used{false};
    };

} // namespace

HttpRespond makeResponder(HttpServerShared &shared, const std::weak_ptr<ServedConnection> &connection, std::uint64_t number)
{
    return [responder = std::make_shared<Responder>(shared, connection, number)](HttpResponse response) {
        responder->give(std::move(response));
    };
}

} // namespace Filbertlanding
