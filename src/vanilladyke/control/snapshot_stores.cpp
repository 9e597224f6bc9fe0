#include "vanilladyke/control/snapshot_stores.hpp"

#include "vanilladyke/peers/codec.hpp"

namespace vanilladyke {

namespace {

SnapshotPiece writeCachePiece(const SharedCacheView &view, std::uint64_t cursor)
{
    const CacheEntryPage entries =
            view.entries(cursor, CacheEntriesPerPiece, MonotonicClock::now());
    SnapshotPiece piece;
    piece.nextCursor = entries.next;
    piece.items.reserve(entries.entries.size());
    for (const CacheEntry &entry : entries.entries) {
        piece.items.push_back(encode(entry));
    }
    return piece;
}

void readCachePiece(const SnapshotPiece &piece, CacheController &controller)
{
    const TimePoint now = MonotonicClock::now();
    for (const std::string &item : piece.items) {
        if (const auto entry = decodeCacheEntry(item)) {
            controller.mergeEntry(*entry, now);
        }
    }
}

} // namespace

SnapshotStore cacheViewStore(const SharedCacheView &view, CacheController &controller)
{
    return {
            [&view](std::uint64_t cursor) { return writeCachePiece(view, cursor); },
            [&controller](const SnapshotPiece &piece) { readCachePiece(piece, controller); },
    };
}

} // namespace vanilladyke
