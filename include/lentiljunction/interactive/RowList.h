#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace lentiljunction {

/// The rows of a result, one after the other in one buffer: a row of a few bytes takes little more memory than its bytes.
///
/// Not thread-safe.
class RowList {
public:
    /// Iterates over the rows; a row is valid until the list changes.
    class Iterator {
    public:
        Iterator(const RowList& list, std::size_t index)
            : list(&list)
            , index(index)
        {
        }

        std::string_view operator*() const { return this->list->at(this->index); }

        Iterator& operator++()
        {
            this->index++;
            return *this;
        }

        friend bool operator!=(const Iterator& left, const Iterator& right) { return left.index != right.index; }

    private:
        const RowList* list;
        std::size_t index;
    };

    RowList() = default;

    RowList(std::initializer_list<std::string> rows)
    {
        for (const std::string& row : rows)
            this->add(row);
    }

    /// Adds a row. All rows together must be shorter than 4 GiB.
    void add(std::string_view row)
    {
        this->bytes += row;
        this->ends.push_back(static_cast<std::uint32_t>(this->bytes.size()));
    }

    bool isEmpty() const { return this->ends.empty(); }
    std::size_t getSize() const { return this->ends.size(); }

    /// @returns the row at an index, which must exist
    std::string_view at(std::size_t index) const
    {
        std::size_t begin = index == 0 ? 0 : this->ends[index - 1];
        return std::string_view(this->bytes).substr(begin, this->ends[index] - begin);
    }

    /// @returns the first row, which must exist
    std::string getFirst() const { return std::string(this->at(0)); }

    /// @returns the bytes of all rows
    std::size_t countBytes() const { return this->bytes.size(); }

    /// @returns the memory that the rows take, in bytes
    std::size_t countMemory() const { return this->bytes.capacity() + this->ends.capacity() * sizeof(std::uint32_t); }

    Iterator begin() const { return Iterator(*this, 0); }
    Iterator end() const { return Iterator(*this, this->ends.size()); }

    friend bool operator==(const RowList& left, const RowList& right) { return left.bytes == right.bytes && left.ends == right.ends; }

private:
    std::string bytes;
    /// Where each row ends in the buffer.
    std::vector<std::uint32_t> ends;
};

} // namespace lentiljunction
