/** @file key_file.h Files with the keys of operators and peers. */

#pragma once

#include "core/result_code.h"
#include "settings/settings_type.h"

#include <string>

namespace Filbertlanding {

/** A key read from a file. */
struct KeyFile {
    ResultCode code = ResultCode::Ok; ///< Ok, NotFound, OutOfRange for a key that is too short, or DiskFailed.
    std::string message; ///< One sentence for people.
    std::string key; ///< The key, without white space at its end.
};

/** Reads a key of at least 16 bytes. */
KeyFile readKeyFile(const std::string &path);

/** Reads the operators' key; without a configured file, creates one in the data folder at the first start. */
KeyFile openOperatorKey(const Settings &settings);

} // namespace Filbertlanding
