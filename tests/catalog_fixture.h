/** @file catalog_fixture.h A catalog with helpers that apply commands, for tests of the replicated state. */

#pragma once

#include "catalog/catalog_func.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

namespace Filbertlanding {

inline constexpr const char *BaseFile = R"({"services": {"survey": {}, "quote-desk": {}}, "teams": {"field": {}, "office": {"weight": 2}}})";

/** A catalog with helpers that apply commands at the next index. */
struct CatalogFixture {
    Catalog catalog;

    CatalogFixture()
    {
        REQUIRE(this->change("base", 0, BaseFile).code == ResultCode::Ok);
    }

    CommandResult apply(const LogCommand &command)
    {
        return applyCommand(this->catalog, command, this->catalog.appliedIndex + 1);
    }

    CommandResult change(const std::string &operation, std::uint64_t base, const std::string &text, std::int64_t wallTimeMs = 0)
    {
        return this->apply(ChangeFiles{ChangeKind::Put, {{"file-" + operation, text}}, base, operation, "abebe", {wallTimeMs}});
    }

    CommandResult submit(const JobId &job, std::uint32_t tasks = 1)
    {
        return this->apply(SubmitJob{"submit-" + job, job, {"survey", "field", "slab", {1000, 100, 0}, 0, false, tasks}});
    }

    ResultCode assign(const JobId &job, std::uint64_t epoch, TaskRange tasks, std::uint64_t resumeFrom = 0, const DaemonName &daemon = "bole-1")
    {
        return this->apply(AssignJob{job, epoch, daemon, daemon.substr(0, daemon.find('-')), tasks, resumeFrom}).code;
    }

    void restoreFromSnapshot()
    {
        auto decoded = decodeCatalog(encodeCatalog(this->catalog));
        REQUIRE(decoded.code == ResultCode::Ok);
        REQUIRE(decoded.value == this->catalog);
        this->catalog = std::move(decoded.value);
    }
};

} // namespace Filbertlanding
