#include "tool/text_table.h"

#include <algorithm>
#include <utility>

namespace bramleyspoke {
namespace {

constexpr std::size_t kColumnGap = 2;

std::vector<std::size_t> Widths(const std::vector<TextTable::Row>& rows) {
  std::vector<std::size_t> widths;
  for (const TextTable::Row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  return widths;
}

}  // namespace

TextTable::TextTable(Row header) : m_rows{std::move(header)} {}

void TextTable::Add(Row row) {
  m_rows.push_back(std::move(row));
}

std::string TextTable::Text() const {
  const std::vector<std::size_t> widths = Widths(m_rows);
  std::string text;
  for (const Row& row : m_rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      text += row[i];
      if (i + 1 < row.size()) {
        text.append(widths[i] + kColumnGap - row[i].size(), ' ');
      }
    }
    text += '\n';
  }
  return text;
}

}  // namespace bramleyspoke
