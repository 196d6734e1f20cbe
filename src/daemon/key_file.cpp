/** @file key_file.cpp Files with the keys of operators and peers. */

#include "daemon/key_file.h"

#include <openssl/rand.h>

#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MinKeyBytes = 16; ///< Shorter keys can be guessed.
    constexpr std::size_t NewKeyBytes = 32; ///< Random bytes of a key that the daemon creates.

    std::string randomKey()
    {
        unsigned char bytes[NewKeyBytes];
        if (RAND_bytes(bytes, sizeof bytes) != 1) {
            return {};
        }
        constexpr char Digits[] = "0123456789abcdef";
        std::string text;
        for (const unsigned char byte : bytes) {
            text += Digits[byte >> 4];
            text += Digits[byte & 15];
        }
        return text;
    }

    /** Creates a file that only its owner can read. */
    bool writeSecret(const std::string &path, const std::string &key)
    {
        const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
        if (file < 0) {
            return false;
        }
        const std::string line = key + "\n";
        const bool written = write(file, line.data(), line.size()) == static_cast<ssize_t>(line.size()) && fsync(file) == 0;
        close(file);
        return written;
    }

} // namespace

KeyFile readKeyFile(const std::string &path)
{
    KeyFile result;
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        result.code = ResultCode::NotFound;
        result.message = "cannot read the key file " + path;
        return result;
    }
    result.key.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    while (!result.key.empty() && (result.key.back() == '\n' || result.key.back() == '\r' || result.key.back() == ' ')) {
        result.key.pop_back();
    }
    if (result.key.size() < MinKeyBytes) {
        result.code = ResultCode::OutOfRange;
        result.message = "the key in " + path + " must have at least " + std::to_string(MinKeyBytes) + " bytes";
    }
    return result;
}

KeyFile openOperatorKey(const Settings &settings)
{
    if (!settings.operatorKeyFile.empty()) {
        return readKeyFile(settings.operatorKeyFile);
    }
    const std::string path = settings.dataFolder + "/operator.key";
    if (std::filesystem::exists(path)) {
        return readKeyFile(path);
    }
    const std::string key = randomKey();
    if (key.empty() || !writeSecret(path, key)) {
        return {ResultCode::DiskFailed, "cannot create the key file " + path, {}};
    }
    return {ResultCode::Ok, {}, key};
}

} // namespace Filbertlanding
