#include "PieceReceiver.h"

namespace lentiljunction {

namespace {

    /// Of the same order as the longest message between instances.
    constexpr std::size_t maximumContentBytes = 4U << 20;

} // namespace

bool PieceReceiver::add(const PieceResponse& piece)
{
    bool isFirst = piece.offset == 0;
    bool isNext = piece.content == this->content && piece.offset == this->bytes.size();
    bool fits = !piece.bytes.empty() && piece.total <= maximumContentBytes && piece.offset + piece.bytes.size() <= piece.total;
    if (!fits || piece.content == ContentId() || (!isFirst && !isNext))
        return false;
    if (!isNext)
        this->bytes.clear();
    this->content = piece.content;
    this->total = piece.total;
    this->bytes += piece.bytes;
    return true;
}

} // namespace lentiljunction
