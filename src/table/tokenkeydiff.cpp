/// Compares the token keys of two tables.
#include "table/changelist.h"
#include "table/entrydiff.h"

#include <flamingograde/table.h>

#include <algorithm>
#include <string>

namespace flamingograde {

namespace {

auto keyOf(const Table &table, std::uint8_t id) -> const TokenKey *
{
    const auto &keys = table.tokenKeys();
    const auto found = std::find_if(keys.begin(), keys.end(),
                                    [id](const TokenKey &key) { return key.id == id; });
    return found == keys.end() ? nullptr : &*found;
}

auto subjectOf(const TokenKey &key) -> std::string
{
    return "token key " + std::to_string(key.id);
}

auto diffKey(const TokenKey &before, const TokenKey &after, ChangeList &changes) -> void
{
    const auto subject = subjectOf(after);
    if (before.secret != after.secret) {
        changes.add(subject + ": secret changed",
                    "every token signed with the old secret is refused; publish the new secret "
                    "under another id first");
    }
    if (before.signing != after.signing) {
        changes.add(subject
                    + (after.signing ? ": signs tokens from now on"
                                     : ": no longer signs tokens, only verifies them"));
    }
}

auto addNewKey(const TokenKey &key, ChangeList &changes) -> void
{
    if (!key.signing) {
        changes.add(subjectOf(key) + " added, for verification only");
        return;
    }
    changes.add(subjectOf(key) + " added and signs at once",
                "hosts that still have the old table refuse its tokens; publish it with "
                "signing = false first, and let it sign in the next revision");
}

auto addRemovedKey(const TokenKey &key, ChangeList &changes) -> void
{
    changes.add(subjectOf(key) + " removed; tokens signed with it are refused",
                key.signing
                        ? "it was the signing key; keep it with signing = false until the flows "
                          "that use its tokens have ended"
                        : "");
}

} // namespace

auto diffTokenKeys(const Table &before, const Table &after, ChangeList &changes) -> void
{
    for (const auto &key : after.tokenKeys()) {
        const auto *old = keyOf(before, key.id);
        if (old != nullptr) {
            diffKey(*old, key, changes);
        } else {
            addNewKey(key, changes);
        }
    }
    for (const auto &key : before.tokenKeys()) {
        if (keyOf(after, key.id) == nullptr) {
            addRemovedKey(key, changes);
        }
    }
}

} // namespace flamingograde
