/** @file soak_crowd.cpp A crowd of connections that send nothing. */

#include "soak/soak_crowd.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

namespace Filbertlanding {

namespace {

    namespace asio = boost::asio;
    using Error = boost::system::error_code;

    constexpr std::chrono::seconds ReconnectPause{1};

} // namespace

SoakCrowd::Member::Member(asio::io_context &loop)
    : socket(loop)
    , timer(loop)
{
}

SoakCrowd::SoakCrowd(asio::io_context &loop, const HttpAddress &target)
    : io(loop)
    , endpoint(asio::ip::make_address(target.address), target.port)
{
}

void SoakCrowd::start(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        this->members.push_back(std::make_unique<Member>(this->io));
        this->connect(*this->members.back());
    }
}

void SoakCrowd::stop()
{
    this->hasStopped = true;
    for (const auto &member : this->members) {
        Error ignored;
        member->socket.close(ignored);
        member->timer.cancel();
    }
}

void SoakCrowd::connect(Member &member)
{
    member.socket = asio::ip::tcp::socket(this->io);
    member.socket.async_connect(this->endpoint, [self = this->shared_from_this(), &member](const Error &error) {
        if (error) {
            self->connectLater(member);
            return;
        }
        member.socket.async_read_some(asio::buffer(&member.received, 1), [self, &member](const Error &, std::size_t) {
            self->connectLater(member);
        });
    });
}

void SoakCrowd::connectLater(Member &member)
{
    if (this->hasStopped) {
        return;
    }
    member.timer.expires_after(ReconnectPause);
    member.timer.async_wait([self = this->shared_from_this(), &member](const Error &error) {
        if (!error && !self->hasStopped) {
            self->connect(member);
        }
    });
}

} // namespace Filbertlanding
