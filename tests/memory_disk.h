/** @file memory_disk.h Files in memory for tests: short writes, failed writes and syncs, loss of power, damage. */

#pragma once

#include "core/random.h"
#include "storage/file_functions.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace Filbertlanding {

/** One disk. Content that was not synced, and names in folders that were not synced, do not survive losePower(). */
struct MemoryDisk {
    struct Inode {
        std::string data;
        std::string synced;
        std::size_t lostFrom = 0; ///< Begin of the bytes that a failed sync has marked as written although they are not.
        std::size_t lostTo = 0; ///< End of these bytes.
    };

    std::map<std::string, std::shared_ptr<Inode>> names; ///< Files as a running process sees them.
    std::map<std::string, std::shared_ptr<Inode>> durable; ///< Names that survive a loss of power.
    std::set<std::string> folders;
    std::map<int, std::shared_ptr<Inode>> handles;
    std::map<int, std::string> locks;
    int nextHandle = 3;
    int failAfter = -1; ///< Writes and syncs that still succeed; negative for no fault.
    bool failOnce = false; ///< Only one operation fails, later ones succeed again.
    bool losesPagesOfFailedSync = false; ///< Later syncs of a file don't write the bytes that a failed one should have written.
    int failReadAfter = -1; ///< Reads and listings that still succeed before one fails; negative for no fault.
    std::size_t maxWrite = SIZE_MAX; ///< Bytes that one write takes at most.

    /** Counts an operation and returns whether it succeeds. */
    bool mayProceed()
    {
        if (this->failAfter < 0) {
            return true;
        }
        if (this->failAfter > 0) {
            --this->failAfter;
            return true;
        }
        if (this->failOnce) {
            this->failAfter = -1;
        }
        return false;
    }

    /** Counts a read or a listing and returns whether it succeeds. */
    bool mayRead()
    {
        const bool fails = this->failReadAfter == 0;
        this->failReadAfter = std::max(-1, this->failReadAfter - 1);
        return !fails;
    }

    /** Ends the process: handles and locks go, the content of files stays. */
    void endProcess()
    {
        this->handles.clear();
        this->locks.clear();
        this->failAfter = -1;
    }

    /** Drops what was not synced; of an unsynced tail a random part stays, possibly damaged. */
    void losePower(Random &random)
    {
        this->endProcess();
        this->names = this->durable;
        for (auto &[name, inode] : this->names) {
            if (inode->data.starts_with(inode->synced)) {
                inode->data.resize(inode->synced.size() + random.below(inode->data.size() - inode->synced.size() + 1));
                if (inode->data.size() > inode->synced.size() && random.below(2) == 0) {
                    inode->data.back() = static_cast<char>(inode->data.back() ^ 0x5a);
                }
            } else {
                inode->data = inode->synced;
            }
            inode->synced = inode->data;
        }
    }

    std::vector<std::string> listFolder(const std::string &path) const
    {
        std::set<std::string> found;
        const std::string prefix = path + "/";
        const auto add = [&found, &prefix](const std::string &name) {
            if (name.starts_with(prefix)) {
                found.insert(name.substr(prefix.size(), name.find('/', prefix.size()) - prefix.size()));
            }
        };
        for (const auto &item : this->names) {
            add(item.first);
        }
        for (const auto &folder : this->folders) {
            add(folder);
        }
        return {found.begin(), found.end()};
    }

    static void renameIn(std::map<std::string, std::shared_ptr<Inode>> &map, const std::string &from, const std::string &to)
    {
        std::map<std::string, std::shared_ptr<Inode>> moved;
        for (const auto &[name, inode] : map) {
            moved[name.starts_with(from + "/") ? to + name.substr(from.size()) : name] = inode;
        }
        map = std::move(moved);
    }

    bool rename(const std::string &from, const std::string &to)
    {
        if (this->folders.erase(from) > 0) {
            // Renames of folders count as durable at once; the tests of power loss do not depend on their order.
            this->folders.insert(to);
            renameIn(this->names, from, to);
            renameIn(this->durable, from, to);
            return true;
        }
        const auto found = this->names.find(from);
        if (found == this->names.end()) {
            return false;
        }
        const auto inode = found->second;
        this->names.erase(found);
        this->names[to] = inode;
        return true;
    }

    bool syncFolder(const std::string &path)
    {
        const auto isInside = [&path](const auto &item) {
            return item.first.starts_with(path + "/") && item.first.find('/', path.size() + 1) == std::string::npos;
        };
        std::erase_if(this->durable, isInside);
        for (const auto &item : this->names) {
            if (isInside(item)) {
                this->durable.insert(item);
            }
        }
        return true;
    }

    void syncInode(Inode &inode, bool succeeds) const
    {
        if (!succeeds && this->losesPagesOfFailedSync) {
            inode.lostFrom = inode.synced.size();
            inode.lostTo = inode.data.size();
        }
        if (succeeds) {
            inode.synced = inode.data;
            const std::size_t lostTo = std::min(inode.lostTo, inode.synced.size());
            for (std::size_t i = inode.lostFrom; i < lostTo; ++i) {
                inode.synced[i] = '\0';
            }
        }
    }

    std::optional<int> openAppend(const std::string &path)
    {
        auto &inode = this->names[path];
        if (!inode) {
            inode = std::make_shared<Inode>();
        }
        this->handles[this->nextHandle] = inode;
        return this->nextHandle++;
    }

    std::optional<int> lock(const std::string &path)
    {
        for (const auto &held : this->locks) {
            if (held.second == path) {
                return std::nullopt;
            }
        }
        this->locks[this->nextHandle] = path;
        return this->nextHandle++;
    }

    /** Returns the operations on this disk, which must outlive them. */
    FileFunctions functions()
    {
        FileFunctions files;
        files.openAppend = [this](const std::string &path) {
            return this->openAppend(path);
        };
        files.write = [this](int file, std::string_view data) -> std::optional<std::size_t> {
            const std::size_t size = std::min(data.size(), this->maxWrite);
            if (!this->mayProceed()) {
                return std::nullopt;
            }
            this->handles.at(file)->data += data.substr(0, size);
            return size;
        };
        files.sync = [this](int file) {
            const bool succeeds = this->mayProceed();
            this->syncInode(*this->handles.at(file), succeeds);
            return succeeds;
        };
        files.truncate = [this](int file, std::uint64_t size) {
            this->handles.at(file)->data.resize(size);
            return true;
        };
        files.close = [this](int file) {
            this->handles.erase(file);
            this->locks.erase(file);
        };
        files.read = [this](const std::string &path) -> FileContent {
            const auto found = this->names.find(path);
            if (found == this->names.end()) {
                return {};
            }
            return this->mayRead() ? FileContent{ReadOutcome::Whole, found->second->data} : FileContent{ReadOutcome::Failed, {}};
        };
        files.rename = [this](const std::string &from, const std::string &to) {
            return this->mayProceed() && this->rename(from, to);
        };
        files.remove = [this](const std::string &path) {
            return this->names.erase(path) > 0;
        };
        files.makeFolder = [this](const std::string &path) {
            this->folders.insert(path);
            return true;
        };
        files.syncFolder = [this](const std::string &path) {
            return this->mayProceed() && this->syncFolder(path);
        };
        files.list = [this](const std::string &path) {
            return this->mayRead() ? std::optional(this->listFolder(path)) : std::nullopt;
        };
        files.lock = [this](const std::string &path) {
            return this->lock(path);
        };
        return files;
    }
};

} // namespace Filbertlanding
