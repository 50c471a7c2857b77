#include "acaciasill/model/embedded_defaults.h"

#include <cassert>
#include <string>
#include <vector>

#include "acaciasill/model/configuration_set.h"

namespace acaciasill::model {
namespace {

constexpr std::string_view defaults_text = R"yaml(kind: data_centre
name: local
region: local
---
kind: organisation
name: large
guaranteed_share: 0.5
weight: 5
---
kind: organisation
name: small
guaranteed_share: 0.2
weight: 1
---
kind: priority
name: important
rank: 0
---
kind: priority
name: normal
rank: 2
---
kind: priority
name: bulk
rank: 5
---
kind: limits
name: usual
---
kind: service
name: front
limits: usual
default_priority: normal
slots: 100
connections: 750
calls: [middle]
---
kind: service
name: middle
limits: usual
default_priority: normal
slots: 100
connections: 750
calls: [deep]
---
kind: service
name: deep
limits: usual
default_priority: normal
slots: 30
connections: 300
---
kind: route
name: front-lookup
service: front
path_prefix: /lookup
priority: important
idempotent: true
---
kind: route
name: front-browse
service: front
path_prefix: /browse
priority: bulk
idempotent: true
---
kind: route
name: front-reserve
service: front
methods: [POST]
path_prefix: /reserve
priority: normal
idempotent: false
claim_key: true
---
kind: caller_policy
name: outside
may_set_organisation: true
may_set_priority: false
may_set_retry_budget: false
default_organisation: small
)yaml";

} // namespace

std::string_view embedded_defaults_yaml() {
  return defaults_text;
}

configuration embedded_defaults() {
  loaded_set loaded;
  std::vector<finding> findings;
  load_text("embedded", std::string(defaults_text), loaded, findings);
  assert(findings.empty() && "the embedded defaults are invalid");
  normalise(loaded.set);
  return loaded.set;
}

} // namespace acaciasill::model
