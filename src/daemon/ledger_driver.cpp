/** @file ledger_driver.cpp Runs the ledger of non-repeatable requests with its journal. */

#include "daemon/ledger_driver.h"

#include "core/bounded_archive.h"
#include "core/clock_func.h"
#include "request/ledger_func.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>

namespace Filbertlanding {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds TickInterval{100}; ///< Well below the time that a replica has to answer.
    constexpr std::uint64_t CompactBytes = 67'108'864; ///< Size at which the journal is rewritten with the records that are still kept.

    using StoredRecord = std::pair<LedgerKey, LedgerRecord>; ///< The journal holds lists of these; one list is synced together.

} // namespace

struct LedgerDriver::Core {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{asio::make_work_guard(this->context)};
    asio::steady_timer timer{this->context};
    std::thread thread;
    LedgerHooks hooks;
    Ledger ledger;
    std::unique_ptr<Journal> journal;
    std::vector<StoredRecord> unsynced;
    std::vector<std::uint64_t> unsyncedNumbers;
    TimePoint completeAt; ///< From then on no record of a lost disk is missing any more.
    bool flushScheduled = false;
    bool failed = false;
    SubmissionToken lastAsker = 0;
    std::unordered_map<SubmissionToken, std::function<void(ReplicaAnswer)>> askers;

    void carryOut(LedgerActions actions)
    {
        for (LedgerAction &action : actions) {
            std::visit(
                [this](auto &value) {
                    this->start(value);
                },
                action);
        }
    }

    /** Records that arrive close together share one sync, which is the slowest step. */
    void start(PersistLedgerRecord &action)
    {
        this->unsynced.emplace_back(std::move(action.key), std::move(action.record));
        this->unsyncedNumbers.push_back(action.number);
        if (this->flushScheduled) {
            return;
        }
        this->flushScheduled = true;
        asio::post(this->context, [this] {
            this->flush();
        });
    }

    void start(const RequestReplicaRecord &action)
    {
        const LedgerKey key = action.replicaRequest.key;
        const LedgerAttempt attempt = action.replicaRequest.attempt;
        this->hooks.replicaRequest(action.replicaRequest, [this, key, attempt](std::optional<ReplicaAnswer> answer) {
            asio::post(this->context, [this, key, attempt, answer = std::move(answer)] {
                const TimePoint now = steadyNow();
                this->carryOut(answer ? ledgerReplicaAnswered(this->ledger, *answer, now) : ledgerReplicaFailed(this->ledger, key, attempt, now));
            });
        });
    }

    void start(const SendReplicaOutcome &action)
    {
        this->hooks.tell(action.outcome);
    }

    void start(const RunLedgerRequest &action)
    {
        this->hooks.run(action.key, action.submission, [this, key = action.key, attempt = action.attempt](ResultCode code, std::string answer) {
            asio::post(this->context, [this, key, attempt, code, answer = std::move(answer)]() mutable {
                this->carryOut(ledgerFinished(this->ledger, key, attempt, {code, std::move(answer)}, steadyNow()));
            });
        });
    }

    void start(AnswerSubmission &action)
    {
        this->hooks.answer(action.submission, action.code, std::move(action.answer));
    }

    void start(SendReplicaAnswer &action)
    {
        const auto found = this->askers.find(action.requester);
        if (found == this->askers.end()) {
            return;
        }
        const auto reply = std::move(found->second);
        this->askers.erase(found);
        reply(std::move(action.answer));
    }

    void flush()
    {
        this->flushScheduled = false;
        if (this->failed) {
            return;
        }
        const std::vector<StoredRecord> records = std::move(this->unsynced);
        const std::vector<std::uint64_t> numbers = std::move(this->unsyncedNumbers);
        this->unsynced.clear();
        this->unsyncedNumbers.clear();
        const ResultCode code = this->journal->append(encodeBounded(records));
        if (code != ResultCode::Ok) {
            this->failed = true;
            this->hooks.failed(code);
            return;
        }
        const TimePoint now = steadyNow();
        for (const std::uint64_t number : numbers) {
            this->carryOut(ledgerPersisted(this->ledger, number, now));
        }
        this->compactIfLarge();
    }

    void compactIfLarge()
    {
        if (this->journal->size() < CompactBytes || !this->unsynced.empty()) {
            return;
        }
        std::vector<std::string> kept;
        for (const auto &[key, record] : this->ledger.records) {
            kept.push_back(encodeBounded(std::vector<StoredRecord>{{key, record}}));
        }
        if (this->journal->rewrite(kept) != ResultCode::Ok) {
            this->failed = true;
            this->hooks.failed(ResultCode::DiskFailed);
        }
    }

    void tick()
    {
        const TimePoint now = steadyNow();
        this->ledger.settings.complete = this->ledger.settings.complete || now >= this->completeAt;
        this->carryOut(ledgerTick(this->ledger, now));
        this->timer.expires_after(TickInterval);
        this->timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                this->tick();
            }
        });
    }

    SubmissionToken remember(std::function<void(ReplicaAnswer)> reply)
    {
        this->askers.emplace(++this->lastAsker, std::move(reply));
        return this->lastAsker;
    }
};

LedgerDriver::LedgerDriver()
    : core(std::make_unique<Core>())
{
}

LedgerDriver::~LedgerDriver()
{
    this->stop();
}

void LedgerDriver::start(
    const LedgerSettings &settings, Duration completeAfter, std::unique_ptr<Journal> journal, const std::vector<std::string> &records, LedgerHooks hooks)
{
    Core &state = *this->core;
    state.hooks = std::move(hooks);
    state.journal = std::move(journal);
    state.completeAt = steadyNow() + completeAfter;
    std::vector<StoredRecord> stored;
    for (const std::string &bytes : records) {
        std::vector<StoredRecord> batch;
        if (!decodeBounded(bytes, batch)) {
            // The journal's checksum has passed, so this is a record of another format.
            state.failed = true;
            state.hooks.failed(ResultCode::DataDamaged);
            return;
        }
        stored.insert(stored.end(), batch.begin(), batch.end());
    }
    state.ledger = loadLedger(settings, std::move(stored), steadyNow());
    if (state.journal == nullptr) {
        return;
    }
    state.tick();
    state.thread = std::thread([&state] {
        state.context.run();
    });
}

void LedgerDriver::stop()
{
    if (!this->core->thread.joinable()) {
        return;
    }
    this->core->context.stop();
    this->core->thread.join();
}

void LedgerDriver::submit(LedgerSubmission submit)
{
    Core *state = this->core.get();
    if (state->journal == nullptr) {
        state->hooks.answer(submit.submission, ResultCode::HomeUnreachable, {});
        return;
    }
    asio::post(state->context, [state, submit = std::move(submit)] {
        state->carryOut(ledgerSubmit(state->ledger, submit, steadyNow()));
    });
}

void LedgerDriver::record(ReplicaRecordRequest replicaRequest, std::function<void(ReplicaAnswer)> reply)
{
    asio::post(this->core->context, [state = this->core.get(), replicaRequest = std::move(replicaRequest), reply = std::move(reply)]() mutable {
        const SubmissionToken requester = state->remember(std::move(reply));
        state->carryOut(replicaRecord(state->ledger, replicaRequest, requester, steadyNow()));
    });
}

void LedgerDriver::query(ReplicaQuery query, std::function<void(ReplicaAnswer)> reply)
{
    asio::post(this->core->context, [state = this->core.get(), query = std::move(query), reply = std::move(reply)]() mutable {
        const SubmissionToken requester = state->remember(std::move(reply));
        state->carryOut(replicaQuery(state->ledger, query, requester, steadyNow()));
    });
}

void LedgerDriver::outcome(ReplicaOutcome outcome)
{
    asio::post(this->core->context, [state = this->core.get(), outcome = std::move(outcome)] {
        state->carryOut(replicaOutcome(state->ledger, outcome, steadyNow()));
    });
}

} // namespace Filbertlanding
