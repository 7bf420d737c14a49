#pragma once

#include "PieceSender.h"

#include <string>

namespace lentiljunction {

/// Puts a content together from its pieces, which may come from several instances one after the other.
///
/// Not thread-safe.
///
/// @see PieceSender
class PieceReceiver {
public:
    /// Adds a piece. One that does not continue what there is replaces it, if it is the first of its content.
    ///
    /// @returns false when the piece was not used
    bool add(const PieceResponse& piece);

    /// Drops what there is.
    void clear() { *this = PieceReceiver(); }

    /// @returns the content of which there is a beginning, or zero
    ContentId getContent() const { return this->content; }

    /// @returns the number of bytes that there are
    std::size_t getOffset() const { return this->bytes.size(); }

    bool isComplete() const { return this->content != ContentId() && this->bytes.size() == this->total; }

    /// @returns the bytes, if they are those that the id names
    bool isIntact() const { return computeContentId(this->bytes) == this->content; }

    const std::string& getBytes() const { return this->bytes; }

private:
    ContentId content;
    std::size_t total = 0;
    std::string bytes;
};

} // namespace lentiljunction
