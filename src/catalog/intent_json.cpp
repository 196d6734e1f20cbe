/** @file intent_json.cpp Faults in the intent files as JSON, as the daemon and the operator's tool print them. */

#include "catalog/intent_json.h"

namespace Filbertlanding {

namespace json = boost::json;

json::array errorsAsJson(const std::vector<IntentError> &errors)
{
    json::array list;
    for (const IntentError &error : errors) {
        list.push_back(json::object{{"code", static_cast<int>(error.code)},
                                    {"name", resultCodeRow(error.code).name},
                                    {"file", error.file},
                                    {"pointer", error.pointer},
                                    {"message", error.message}});
    }
    return list;
}

} // namespace Filbertlanding
