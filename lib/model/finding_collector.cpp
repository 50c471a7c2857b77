#include "finding_collector.h"

#include "absl/strings/str_cat.h"

namespace acaciasill::model {

finding_collector::finding_collector(const std::vector<object_source>& sources,
                                     std::string set_name)
    : set_name_(std::move(set_name)) {
  for (const auto& source : sources) {
    sources_.emplace(std::pair(source.kind, std::string_view(source.name)), &source);
  }
}

void finding_collector::add(object_kind kind, const std::string& name, std::string_view key,
                            support::result_code code, std::string_view text) {
  finding result{set_name_,        0,    absl::StrCat(std::string(kind_name(kind)), " ", name),
                 std::string(key), code, std::string(text)};
  if (const auto found = sources_.find({kind, name}); found != sources_.end()) {
    result.file = found->second->file;
    result.line = found->second->line;
    for (const auto& position : found->second->keys) {
      if (position.key == key) {
        result.line = position.line;
      }
    }
  }
  findings_.push_back(std::move(result));
}

void finding_collector::add_to_set(support::result_code code, std::string_view text) {
  findings_.push_back({set_name_, 0, "", "", code, std::string(text)});
}

} // namespace acaciasill::model
