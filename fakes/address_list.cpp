/** @file address_list.cpp Addresses from the command line. */

#include "fakes/address_list.h"

#include <charconv>

namespace Filbertlanding {

std::optional<std::vector<HttpAddress>> parseAddresses(const std::vector<std::string> &texts)
{
    std::vector<HttpAddress> addresses;
    for (const std::string &text : texts) {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos || colon == 0) {
            return std::nullopt;
        }
        HttpAddress address{text.substr(0, colon), 0};
        const char *end = text.data() + text.size();
        const auto [last, error] = std::from_chars(text.data() + colon + 1, end, address.port);
        if (error != std::errc{} || last != end || address.port == 0) {
            return std::nullopt;
        }
        addresses.push_back(address);
    }
    return addresses;
}

} // namespace Filbertlanding
