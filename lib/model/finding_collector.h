#ifndef ACACIASILL_LIB_MODEL_FINDING_COLLECTOR_H
#define ACACIASILL_LIB_MODEL_FINDING_COLLECTOR_H

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "acaciasill/model/configuration_set.h"

namespace acaciasill::model {

// Collects findings about the objects of a set and adds the file and line of each object's source.
class finding_collector {
public:
  finding_collector(const std::vector<object_source>& sources, std::string set_name);

  // Records a finding about one key of an object.
  void add(object_kind kind, const std::string& name, std::string_view key,
           support::result_code code, std::string_view text);

  // Records a finding about the set as a whole.
  void add_to_set(support::result_code code, std::string_view text);

  std::vector<finding> take() { return std::move(findings_); }

private:
  std::map<std::pair<object_kind, std::string_view>, const object_source*> sources_;
  std::string set_name_;
  std::vector<finding> findings_;
};

} // namespace acaciasill::model

#endif
